import type { Milliseconds } from '@apricotrill/utils';
import type { IncomingHttpHeaders } from 'node:http';
import type { RelayReplica } from '../config/RelayConfiguration.js';
import type { LoadReport, Prompt, StatedLimit } from '../decide/messages.js';
import type { ResponseHead } from '../upstream/UpstreamExchange/UpstreamExchange.js';

/** What a caller states about its request beside method, target and body. */
export interface RequestFields {
  /** Unique for each attempt of a caller; absent where it names none. */
  requestId: string | undefined;
  key: string | undefined;
  /** How long the caller will wait; absent where it doesn't say. */
  timeout: Milliseconds | undefined;
  prompt: Prompt | undefined;
  /** The last event that the caller has of a stream it wants to go on with. */
  resumeAfter: string | undefined;
}

/** What a replica is told about a request. */
export interface UpstreamFields {
  replica: RelayReplica;
  workspace: string | undefined;
  timeLeft: Milliseconds;
  /** Its place among the requests of its service; 0 is the most urgent. */
  rank: number;
  /** The replica from which to copy what the engine lacks of the prompt. */
  fetchFrom: RelayReplica | undefined;
  /** The caller has the stream up to this event. */
  resumeAfter: string | undefined;
}

/** What a replica states about its answer. */
export interface ResponseFields {
  /** The request it answers; absent where it doesn't say. */
  requestId: string | undefined;
  /** The replica vouches for the answer as its own. */
  isSigned: boolean;
  /** The replica did not run the request. */
  isRefusal: boolean;
  /** The replica is another one than the one that was meant, and did not run the request. */
  isMisdirected: boolean;
  load: LoadReport | undefined;
  /** The replica's rate limit across all daemons; undefined if the answer states none. */
  limit: StatedLimit | undefined;
}

/**
 * How the relay's own fields stand in the headers of callers and replicas. What no field names is
 * passed on as it came.
 *
 * @public
 */
export interface RelayProtocol {
  readRequest(headers: IncomingHttpHeaders): RequestFields;
  /**
   * @param rawHeaders - the caller's, names and values in turn, without those of one connection
   * @returns what the replica gets
   */
  getUpstreamHeaders(rawHeaders: readonly string[], fields: UpstreamFields): string[];
  readResponse(head: ResponseHead): ResponseFields;
}
