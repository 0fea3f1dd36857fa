/** Direct deployment, in which entries send requests directly to upstreams. */
export {DirectEntry} from './direct_entry.js';
export {Estate} from './estate.js';
export type {DirectParts, DirectSettings} from './estate.js';
export {MapSidecar} from './map_sidecar.js';
export {Termination} from './termination.js';
