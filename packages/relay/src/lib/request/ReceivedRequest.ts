import type { Milliseconds } from '@apricotrill/utils';
import type { RelayRoute, RelayWorkspace } from '../config/RelayConfiguration.js';
import type { RequestFields } from '../protocol/RelayProtocol.js';

/** An admitted request, with its complete body and the configuration that applies to it. */
export interface ReceivedRequest {
  /** Unique across daemons and over time. */
  id: string;
  /** Identical for repeated requests with the same content from the same caller. */
  fingerprint: string;
  method: string;
  /** Path and query as sent by the caller. */
  target: string;
  /** Headers as received, without hop-by-hop headers. */
  rawHeaders: string[];
  body: Buffer | undefined;
  fields: RequestFields;
  /** The software version that began the stream that it resumes; undefined if it resumes none. */
  softwareVersion: string | undefined;
  route: RelayRoute;
  service: string;
  /** Undefined if callers need no keys. */
  workspace: RelayWorkspace | undefined;
  /** Urgency among the requests of its service; 0 is the most urgent. */
  rank: number;
  arrivedAt: Milliseconds;
  deadline: Milliseconds;
  /** The configuration version that admitted it. */
  version: number;
}
