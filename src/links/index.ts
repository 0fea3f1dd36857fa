/** Authenticated links between the system's own processes. */
export {dial} from './dial.js';
export * from './link.js';
export * from './listener.js';
export type {LinkMessage} from './messages.js';
