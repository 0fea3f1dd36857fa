import {readFileSync, readdirSync} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {pause} from '../support/direct_estate.js';

/** Time for which a crowd stays connected. */
const CROWD_MS = 4_000;
/** The same for crowds whose bytes cost most as they are read late. */
export const LONG_CROWD_MS = 9_000;
/** Interval at which the open descriptors of a process are counted. */
const SAMPLE_INTERVAL_MS = 100;
/**
 * Time for which an ordinary client repeats its request after the crowd has left. A
 * process that hangs takes longer; one that doesn't, a small part of it.
 */
const ORDINARY_MS = 15_000;
/** Size of the blocks in which clients repeat what they send. */
const BLOCK_BYTES = 64 * 2 ** 10;
/** Time after which a client whose connection has closed connects anew. */
const RECONNECT_DELAY_MS = 20;
/** Descriptors that a process has open for itself, its store and its upstreams. */
const OWN_DESCRIPTORS = 100;

/** What one client of a crowd sends. */
export interface Sending {
  readonly begin: string | Buffer;
  /** Sent after `begin`, again and again. */
  readonly repeated?: Buffer;
  /** Number of times that `repeated` is sent; without end if it is omitted. */
  readonly times?: number;
}

/** Clients that send the same to one port. */
export interface Crowd {
  readonly clients: number;
  readonly port: number;
  readonly sending: Sending;
  /** Whether they read nothing of what they are sent. */
  readonly isUnread?: boolean;
  /** Whether a client whose connection has closed connects anew. */
  readonly reconnects?: boolean;
}

/** Returns whole copies of a text that fill a block. */
export function blockOf(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)));
}

/**
 * Returns what a client sends whose chunked body stops short of its end.
 * @param head - head of the request
 * @param chunkBytes - content of each chunk
 * @param bytes - content of all chunks
 */
export function chunkedBody(
  head: string,
  chunkBytes: number,
  bytes: number,
): Sending {
  const size = chunkBytes.toString(16);
  const chunk = `${size}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const perBlock = Math.ceil(BLOCK_BYTES / chunk.length);
  return {
    begin: head,
    repeated: blockOf(chunk),
    times: Math.floor(bytes / (perBlock * chunkBytes)),
  };
}

/** Connects a client that keeps its connection open. */
function startClient({port, sending, isUnread}: Crowd): Socket {
  const {begin, repeated, times} = sending;
  const socket = connect({port, host: '127.0.0.1'});
  let left = repeated === undefined ? 0 : (times ?? Infinity);
  const sendOn = () => {
    while (left > 0 && !socket.destroyed) {
      left -= 1;
      if (!socket.write(repeated!)) return;
    }
  };
  socket.on('error', () => undefined);
  socket.on('drain', sendOn);
  if (isUnread === true) socket.pause();
  else socket.resume();
  socket.write(begin);
  sendOn();
  return socket;
}

/** The open connections of crowds. */
class CrowdConnections {
  private readonly sockets = new Set<Socket>();
  private hasLeft = false;

  /** @param crowds - the crowds */
  constructor(crowds: readonly Crowd[]) {
    for (const crowd of crowds)
      for (let i = 0; i < crowd.clients; i++) this.start(crowd);
  }

  /** Ends all connections, in order: what was not read stays in the system. */
  leave(): void {
    this.hasLeft = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private start(crowd: Crowd): void {
    const socket = startClient(crowd);
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      if (this.hasLeft || crowd.reconnects !== true) return;
      setTimeout(() => {
        if (!this.hasLeft) this.start(crowd);
      }, RECONNECT_DELAY_MS);
    });
  }
}

/** A process and the memory of its machine. */
export interface WatchedProcess {
  readonly pid: number;
  readonly machineMb: number;
  hasEnded(): boolean;
  /** Sends an ordinary request; returns whether it was answered. */
  isServing(): Promise<boolean>;
}

/** What a process was like during and after a crowd. */
export interface Observation {
  readonly hasEnded: boolean;
  readonly peakMb: number;
  readonly descriptors: number;
  /** Whether an ordinary request was answered once the crowd had left. */
  readonly isServing: boolean;
}

/**
 * Lets crowds send to a process for a time, and then an ordinary client.
 * @param watched - the process
 * @param crowds - the crowds
 * @param duration - time for which they stay connected, ms
 */
export async function observe(
  watched: WatchedProcess,
  crowds: readonly Crowd[],
  duration = CROWD_MS,
): Promise<Observation> {
  const connections = new CrowdConnections(crowds);
  let descriptors = 0;
  const end = Date.now() + duration;
  while (Date.now() < end && !watched.hasEnded()) {
    descriptors = Math.max(descriptors, countDescriptors(watched.pid));
    await pause(SAMPLE_INTERVAL_MS);
  }
  connections.leave();
  const isServing = await isAnswered(watched);
  const peakMb = watched.hasEnded() ? NaN : readPeakMb(watched.pid);
  return {hasEnded: watched.hasEnded(), peakMb, descriptors, isServing};
}

/**
 * Returns the bounds of what is observed of a process.
 * @param watched - the process
 * @param crowds - the crowds
 */
export function boundsOf(
  {machineMb}: WatchedProcess,
  crowds: readonly Crowd[],
): {machineMb: number; descriptors: number} {
  const clients = crowds.reduce((sum, crowd) => sum + crowd.clients, 0);
  return {machineMb, descriptors: 2 * clients + OWN_DESCRIPTORS};
}

async function isAnswered(watched: WatchedProcess): Promise<boolean> {
  const end = Date.now() + ORDINARY_MS;
  while (Date.now() < end && !watched.hasEnded()) {
    const isAnswered = watched.isServing().catch(() => false);
    const isLate = pause(end - Date.now()).then(() => false);
    if (await Promise.race([isAnswered, isLate])) return true;
    await pause(SAMPLE_INTERVAL_MS);
  }
  return false;
}

function countDescriptors(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

function readPeakMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1_024;
}
