/** Task of the bound on requests to cold upstreams. */
export {ColdRequestLog} from './cold_request_log.js';
export {ColdStartKeeper} from './cold_start_keeper.js';
