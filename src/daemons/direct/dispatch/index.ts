export {Dispatcher} from './dispatcher.js';
export type {
  DispatchRejection,
  DispatchRequest,
  DispatchState,
  Unplaced,
  UpstreamDirectory,
} from './dispatch_request.js';
