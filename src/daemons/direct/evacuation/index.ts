export {EvacuationKeeper} from './evacuation_keeper.js';
