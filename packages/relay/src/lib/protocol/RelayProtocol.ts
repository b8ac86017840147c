import type { Milliseconds } from '@apricotrill/utils';
import type { IncomingHttpHeaders } from 'node:http';
import type { RelayReplica } from '../config/RelayConfiguration.js';
import type { LoadReport, Prompt, StatedLimit, StatedThreshold } from '../decide/messages.js';
import type { UnreadableField } from './UnreadableField.js';
import type { ResponseHead } from '../upstream/UpstreamExchange/UpstreamExchange.js';

/** Fields of a request that a caller states in its headers. */
export interface RequestFields {
  /** Unique to each attempt of a caller; undefined if it is not stated. */
  requestId: string | undefined;
  key: string | undefined;
  /** How long the caller waits; undefined if it is not stated. */
  timeout: Milliseconds | undefined;
  prompt: Prompt | undefined;
  /** The last event that the caller received of a stream that it resumes. */
  resumeAfter: string | undefined;
  /** The request that brought the first event of that stream. */
  resumes: string | undefined;
  /** What the caller states in a form that cannot be read; absent if there is nothing. */
  unreadable?: readonly UnreadableField[];
}

/** Fields of a request that are sent to a replica. */
export interface UpstreamFields {
  replica: RelayReplica;
  workspace: string | undefined;
  timeLeft: Milliseconds;
  /** Urgency among the requests of its service; 0 is the most urgent. */
  rank: number;
  /** The replica from which to copy the part of the prompt that the engine has not cached. */
  fetchFrom: RelayReplica | undefined;
  /** The last event of the stream that the caller has received. */
  resumeAfter: string | undefined;
}

/** The backoff that a replica asks for when it turns a request away. */
export type RequestedBackoff =
  | { kind: 'span'; span: Milliseconds }
  /** The stated time cannot be parsed. */
  | { kind: 'invalid'; text: string };

/** What a replica announces about itself in the headers of its responses. */
export interface ReplicaNotice {
  /** Whether it is about to leave. */
  isLeaving: boolean;
  /** The time for which it wants no requests from this daemon; undefined if it asks for none. */
  backoff: RequestedBackoff | undefined;
  /** Requests that it can turn away within a second without falling over; undefined if not stated. */
  threshold: StatedThreshold | undefined;
  /** The load of the replica; absent if it is not stated. */
  load?: LoadReport | undefined;
  /** What the replica states in a form that cannot be read; absent if there is nothing. */
  unreadable?: readonly UnreadableField[];
}

/** Fields of a response that a replica states in its headers. */
export interface ResponseFields extends ReplicaNotice {
  /** The id of the request; undefined if it is not stated. */
  requestId: string | undefined;
  /** Whether the replica signed the response as its own. */
  isSigned: boolean;
  /** Whether the replica refused the request and did not run it. */
  isRefusal: boolean;
  /** Whether the request reached a replica that it was not intended for, and was not run. */
  isMisdirected: boolean;
  load: LoadReport | undefined;
  /** The replica's rate limit across all daemons; undefined if the response states none. */
  limit: StatedLimit | undefined;
}

/**
 * Maps the relay's fields to and from the headers of callers and replicas. All other headers are
 * forwarded unchanged.
 *
 * @public
 */
export interface RelayProtocol {
  /** Number of different ranks that replicas distinguish. */
  readonly rankLevels: number;
  readRequest(headers: IncomingHttpHeaders): RequestFields;
  /**
   * @param rawHeaders - the caller's headers as alternating names and values, without hop-by-hop headers
   * @returns the headers for the replica
   */
  getUpstreamHeaders(rawHeaders: readonly string[], fields: UpstreamFields): string[];
  readResponse(head: Omit<ResponseHead, 'framing'>): ResponseFields;
}
