export {PacingDirectory} from './pacing_directory.js';
export {StreamLimitMonitor} from './stream_limit_monitor.js';
