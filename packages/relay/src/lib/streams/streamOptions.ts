import type { Milliseconds } from '@apricotrill/utils';

/** Options of the software versions of streams. */
export const streamOptions = {
  /** Minimum time after its start in which a stream can be resumed. */
  minResumeTime: 30_000 satisfies Milliseconds,
  /** The same in multiples of the longest time-out of a route, for the stream and its caller's return. */
  resumeTimeouts: 2,
  /** Number of streams that are remembered. Beyond it, the oldest are forgotten and can't be resumed. */
  maxStreams: 20_000,
  /** Daemons that are told the version of a stream, besides the one that began it. */
  holders: 3,
  /** Maximum number of streams in one message to a holder. */
  maxTold: 200,
  /** Time for the answer of a holder, and for a message to one. */
  callTimeout: 300 satisfies Milliseconds,
  /** Daemons of which one writes the versions of streams to the store. */
  daemonsPerRecorder: 32,
  /** Time in which streams are collected before they are written to the store. */
  writeInterval: 250 satisfies Milliseconds,
  /** Objects of one daemon in the store, used in turn. */
  slices: 11,
  /** The store takes about twice as many in one object. */
  maxStreamsPerObject: 10_000,
  /** Delay after a failed attempt to read what is stored. */
  storeRetryDelay: 500 satisfies Milliseconds,
  /** Retry-After for a return whose version is not known; a holder may be reached again by then. */
  retryAfter: 500 satisfies Milliseconds,
};
