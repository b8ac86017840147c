import { ResponseFraming } from '../framing/getResponseFraming.js';
import { findHeader } from '../protocol/connectionHeaders.js';

/** Contains the version of the format. */
export const FORWARDING_PATH = '/attempts/v1';

/** Header of each response of a forwarder, with the {@link ForwardingResult}. */
export const RESULT_HEADER = 'apricotrill-forwarded';

/**
 * Header of each response of a replica that is passed on, with its {@link ResponseFraming}, or with
 * {@link CONFIRMED_CONNECTION}.
 */
export const FRAMING_HEADER = 'apricotrill-framing';

/**
 * States that the connection to the replica ends the response, and that the forwarder ends its own only once it
 * has confirmed that it is complete.
 */
const CONFIRMED_CONNECTION = 'connection-confirmed';

/** Headers between daemons, which are not the replica's. */
export const FORWARDING_HEADERS: ReadonlySet<string> = new Set([RESULT_HEADER, FRAMING_HEADER]);

/** What became of a forwarded attempt. */
export enum ForwardingResult {
  /** The response is the replica's. */
  Response = 'response',
  /** The request was sent, and no complete response was received. */
  Broken = 'broken',
  /** Not sent: the forwarder could not open a connection to the replica. */
  Unreachable = 'unreachable',
  /** Not sent: the forwarder reaches no replicas itself. */
  Isolated = 'isolated',
  /** Not sent: the replica announced to the forwarder that it wants no requests. */
  Withdrawn = 'withdrawn',
  /** Not sent: the forwarder doesn't list the replica. */
  UnknownReplica = 'unknown-replica',
  /** Not sent: the forwarder forwards too many attempts already. */
  Busy = 'busy',
  /** Not sent: the forwarder is stopping. */
  Stopping = 'stopping',
  /** Not sent: the forwarder could not read the request. */
  Malformed = 'malformed',
}

const RESULTS: ReadonlySet<string> = new Set(Object.values(ForwardingResult));

/** The address of a request at a replica, as another daemon is asked to forward it. */
export interface ForwardedTarget {
  replica: string;
  /** Path and query for the replica. */
  target: string;
}

/**
 * Returns the path at a forwarder that stands for a path at a replica.
 *
 * @example
 * ```ts
 * formatForwardedTarget({ replica: 'i-7', target: '/check?a=1' }); // '/attempts/v1/i-7/check?a=1'
 * ```
 */
export function formatForwardedTarget({ replica, target }: ForwardedTarget): string {
  return `${FORWARDING_PATH}/${encodeURIComponent(replica)}${target}`;
}

/** @returns undefined if the path does not name a replica and a path there */
export function parseForwardedTarget(url: string): ForwardedTarget | undefined {
  const match = /^\/([^/?]+)(\/.*)$/.exec(url.slice(FORWARDING_PATH.length));
  if (match === null) {
    return undefined;
  }
  try {
    return { replica: decodeURIComponent(match[1]!), target: match[2]! };
  } catch {
    // The replica is not a valid URI component.
    return undefined;
  }
}

/** @returns undefined if the response does not come from a forwarder */
export function readForwardingResult(rawHeaders: readonly string[]): ForwardingResult | undefined {
  const text = findHeader(rawHeaders, RESULT_HEADER);
  return text !== undefined && RESULTS.has(text) ? (text as ForwardingResult) : undefined;
}

const FRAMINGS: ReadonlySet<string> = new Set(Object.values(ResponseFraming));

/** How a replica framed a response that was passed on. */
export interface ForwardedFraming {
  framing: ResponseFraming;
  /** Whether the end of the forwarder's response proves that the replica's is complete. */
  isProof: boolean;
}

/** Returns the value of {@link FRAMING_HEADER} for a response whose end is confirmed. */
export function formatReplicaFraming(framing: ResponseFraming): string {
  return framing === ResponseFraming.Connection ? CONFIRMED_CONNECTION : framing;
}

/**
 * Returns how a replica framed a response that was passed on.
 *
 * @param hop - how the forwarder framed it
 */
export function readReplicaFraming(
  rawHeaders: readonly string[],
  hop: ResponseFraming,
): ForwardedFraming {
  const text = findHeader(rawHeaders, FRAMING_HEADER);
  const isFramed = hop !== ResponseFraming.Connection;
  if (text === CONFIRMED_CONNECTION) {
    return { framing: ResponseFraming.Connection, isProof: isFramed };
  }
  if (text !== undefined && FRAMINGS.has(text)) {
    const framing = text as ResponseFraming;
    return { framing, isProof: isFramed && framing !== ResponseFraming.Connection };
  }
  // A forwarder of an earlier release frames by chunks whatever has no length, so that chunks prove nothing.
  const isProof = isFramed && hop !== ResponseFraming.Chunked;
  return { framing: isProof ? hop : ResponseFraming.Connection, isProof };
}
