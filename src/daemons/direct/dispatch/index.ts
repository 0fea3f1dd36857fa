export {Dispatcher} from './dispatcher.js';
export {ServiceView} from './service_view.js';
export type {
  DispatchRejection,
  DispatchRequest,
  DispatchState,
  Unplaced,
  UpstreamDirectory,
} from './dispatch_request.js';
