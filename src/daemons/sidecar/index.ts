/** Daemon beside one upstream. */
export * from './sidecar.js';
export type {SidecarSettings} from './types.js';
