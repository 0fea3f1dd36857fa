/** Evacuation of availability zones at the operators' request. */
export {EvacuationTable, LOST_GRACE} from './evacuation_table.js';
export {operatorsTopicBound} from './topic_bound.js';
export type {
  Evacuation,
  EvacuationChange,
  EvacuationRecord,
  EvacuationRecordState,
} from './types.js';
