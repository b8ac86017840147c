import type { Milliseconds } from '@apricotrill/utils';

/**
 * What can be tuned about the messages between daemons.
 *
 * @public
 */
export interface MeshOptions {
  /** How long a call may take when its caller names no timeout. */
  callTimeout: Milliseconds;
  /** How long a connection with calls in flight may be quiet before it is pinged. */
  keepaliveInterval: Milliseconds;
  /** How long a ping may stay unanswered before the connection is given up. */
  keepaliveTimeout: Milliseconds;
  /** Channels kept open at once; the least recently used one without calls makes room. */
  channels: number;
  /** A message or answer larger than this is refused, in bytes. */
  messageBytes: number;
  /** Calls that one peer may have running here at once. */
  concurrentCalls: number;
}

/**
 * The documented defaults. A channel holds about 60 kB at each end, so that 64 channels stay well
 * inside a daemon's memory; a part of the configuration is far under the message limit.
 *
 * @public
 */
export const defaultMeshOptions: MeshOptions = {
  callTimeout: 2000,
  keepaliveInterval: 2000,
  keepaliveTimeout: 1500,
  channels: 64,
  messageBytes: 2 * 1024 * 1024,
  concurrentCalls: 256,
};
