#!/usr/bin/env node
import {runCli} from './cli.js';

process.exit(await runCli(process.argv.slice(2), process.env));
