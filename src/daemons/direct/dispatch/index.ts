export {rejectionCause} from './dispatch_request.js';
export {Dispatcher} from './dispatcher.js';
export {ServiceView} from './service_view.js';
export type {
  DispatchRejection,
  DispatchRequest,
  DispatchState,
  KeptAwayResult,
  Unplaced,
  UpstreamDirectory,
  ZoneFilter,
} from './dispatch_request.js';
