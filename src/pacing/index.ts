/** Number and placement of the streams at groups whose passes may be too long. */
export * from './complementary_placement.js';
export * from './pass_limiter.js';
export {needsPacing, pacingOf} from './pass_model.js';
export type {PacingSettings} from './pass_model.js';
