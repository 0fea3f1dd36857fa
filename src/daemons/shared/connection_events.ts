import type {IncomingMessage} from 'node:http';

/** Why a response was cut: its caller left or read nothing, or the process ends. */
export type CutReason = 'caller_gone' | 'unread' | 'shutdown';

/** A response that was cut before all of it was sent. */
export interface CutResponse {
  readonly req: IncomingMessage;
  readonly reason: CutReason;
  /** Bytes that have not left the process. */
  readonly unsentBytes: number;
}

/** A connection that was closed since it held most of an exhausted budget. */
export interface OverBudget {
  readonly heldBytes: number;
  /** Its requests whose responses were not sent completely. */
  readonly open: readonly IncomingMessage[];
}

/** Callbacks of a connection. */
export interface ConnectionEvents {
  /** Called for responses that are cut. */
  onCut(cut: CutResponse): void;
  /** Called as the connection is closed for the memory that it holds. */
  onOverBudget(state: OverBudget): void;
  /** Called once for a connection whose chunks are so small that it is read in turns. */
  onThrottled(req: IncomingMessage): void;
}
