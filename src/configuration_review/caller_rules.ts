import {isHeaderText} from '../core/index.js';
import type {DirectConfiguration, Route} from '../direct/index.js';
import type {Remark} from './types.js';

const LIMITS_PLACE = 'limits';

/** Returns the size of the shortest head that a request of a route can have. */
function shortestHead(
  {host, pathPrefix, needsKey}: Route,
  shortestKey: number | undefined,
): number {
  const head = `GET ${pathPrefix} HTTP/1.1\r\nHost: ${host}\r\n\r\n`;
  const field =
    needsKey && shortestKey !== undefined
      ? 'Authorization: Bearer \r\n'.length + shortestKey
      : 0;
  return head.length + field;
}

/**
 * Finds limits of callers' requests that contradict each other, or that no request
 * can meet.
 * @param configuration - the configuration
 */
export function contradictingEdgeLimits({
  limits,
  routes,
  organisations,
}: DirectConfiguration): Remark[] {
  const found: Remark[] = [];
  const add = (
    severity: Remark['severity'],
    message: string,
    place = LIMITS_PLACE,
  ) => found.push({severity, place, message, rule: 'contradicting-limits'});
  const {maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout} = limits;
  const keyLengths = organisations.flatMap(({keys}) =>
    keys.map(key => key.length),
  );
  const shortestKey =
    keyLengths.length === 0 ? undefined : Math.min(...keyLengths);
  for (const route of routes) {
    const size = shortestHead(route, shortestKey);
    if (size <= maxHeaderBytes) continue;
    const message = `its shortest head has ${size} bytes, ${maxHeaderBytes} are allowed`;
    add('error', message, `route ${route.name}`);
  }
  if (maxBodyBytes < 0) add('error', 'no request meets a negative body limit');
  if (maxBodyBytes === 0) add('warning', 'requests with a body are rejected');
  if (headerTimeout <= 0)
    add('error', `no head arrives within ${headerTimeout} ms`);
  if (idleTimeout < headerTimeout)
    add(
      'error',
      `the idle time-out, ${idleTimeout} ms, is below the header time-out, ${headerTimeout} ms`,
    );
  return found;
}

/**
 * Finds organisations and keys that identify no caller, or the wrong one.
 * @param configuration - the configuration
 */
export function ineffectiveKeys({
  organisations,
  routes,
}: DirectConfiguration): Remark[] {
  const found: Remark[] = [];
  const owners = new Map<string, string>();
  for (const {name, keys} of organisations) {
    const place = `organisation ${name}`;
    if (keys.length === 0) {
      const message = 'has no key, so that no caller belongs to it';
      found.push({severity: 'warning', place, message, rule: 'no-key'});
    }
    for (const [index, key] of keys.entries()) {
      const label = `key ${index + 1}`;
      if (key === '' || !isHeaderText(key)) {
        const message = `${label} can't be sent in a header`;
        found.push({severity: 'error', place, message, rule: 'unusable-key'});
      }
      const owner = owners.get(key);
      owners.set(key, name);
      if (owner === undefined) continue;
      const message = `${label} also belongs to organisation ${owner}; the last one counts`;
      found.push({severity: 'error', place, message, rule: 'duplicate-key'});
    }
  }
  const needKeys = routes.filter(({needsKey}) => needsKey);
  if (owners.size > 0 && routes.length > 0 && needKeys.length === 0) {
    const message = 'no route needs a key; they only tell organisations apart';
    const place = 'organisations';
    found.push({severity: 'warning', place, message, rule: 'unused-keys'});
  }
  if (organisations.length === 0 && needKeys.length > 0) {
    const names = needKeys.map(({name}) => name).join(', ');
    const message = `without organisations no key is asked for, also at ${names}`;
    const place = 'organisations';
    found.push({severity: 'warning', place, message, rule: 'unchecked-keys'});
  }
  return found;
}
