/** Review of the configuration of entries that send directly to upstreams. */
export {flatLines} from './flat_lines.js';
export {reviewConfiguration} from './review.js';
export type {Remark, ReviewContext} from './types.js';
