import {logfmt} from '../src/observability/index.js';
import {EngineServer} from './engine_server.js';
import type {StandinServer} from './http_server.js';
import {PlainService} from './plain_service.js';
import {PlatformServer} from './platform_server.js';

/** Stand-ins that run as a process: `main.js platform|engine|plain [PORT]`. */
const KINDS: Record<string, () => StandinServer> = {
  platform: () => new PlatformServer(),
  engine: () => new EngineServer(),
  plain: () => new PlainService('plain'),
};

const create = KINDS[process.argv[2] ?? ''];
if (create === undefined) {
  process.stderr.write(`usage: main.js ${Object.keys(KINDS).join('|')}\n`);
  process.exit(2);
}
const server = create();
const url = await server.listen(Number(process.argv[3] ?? 0));
process.stderr.write(`${logfmt({event: 'ready', url})}\n`);
process.on('SIGTERM', () => {
  void server.close().then(() => process.exit(0));
});
