// Passes over the failing tests that KNOWN-RED.txt names, and over no others.
// An entry has a line `test: <file> > <full name>` and lines of explanation.
import {readFileSync} from 'node:fs';
import {relative} from 'node:path';

const RESULTS = 'dist/test_results.json';
const LIST = 'KNOWN-RED.txt';

const listed = new Set(
  readFileSync(LIST, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim()),
);
const {testResults} = JSON.parse(readFileSync(RESULTS, 'utf8'));
const red = testResults.flatMap(({name, status, assertionResults}) => {
  const file = relative(process.cwd(), name);
  const failed = assertionResults
    .filter(test => test.status === 'failed')
    .map(test => `${file} > ${test.fullName}`);
  // A file that failed as a whole has no failed test to point at.
  return status === 'failed' && failed.length === 0 ? [file] : failed;
});
const unexpected = red.filter(test => !listed.has(test));
const known = red.filter(test => listed.has(test));
known.forEach(test => console.log(`known red, passed over: ${test}`));
unexpected.forEach(test => console.log(`failed: ${test}`));
process.exit(known.length > 0 && unexpected.length === 0 ? 0 : 1);
