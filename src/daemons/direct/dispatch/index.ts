export {rejectionCause} from './dispatch_request.js';
export {Dispatcher} from './dispatcher.js';
export type {
  DispatchRejection,
  DispatchRequest,
  DispatchState,
  KeptAwayResult,
  Unplaced,
  UpstreamDirectory,
  ZoneFilter,
} from './dispatch_request.js';
export {upstreamStatus} from './upstream_status.js';
export {priorityLookup} from './priority_lookup.js';
