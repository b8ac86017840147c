import type { Milliseconds } from '@apricotrill/utils';
import type { RelayRoute, RelayWorkspace } from '../config/RelayConfiguration.js';
import type { RequestFields } from '../protocol/RelayProtocol.js';

/** A request that was read whole, with all that admits it. */
export interface ReceivedRequest {
  /** Unique over all daemons and time. */
  id: string;
  /** Identical for repeated requests with the same content from the same caller. */
  fingerprint: string;
  method: string;
  /** Path and query, as the caller sent them. */
  target: string;
  /** As they came, without those of the caller's connection. */
  rawHeaders: string[];
  body: Buffer | undefined;
  fields: RequestFields;
  route: RelayRoute;
  service: string;
  /** Absent where callers need no keys. */
  workspace: RelayWorkspace | undefined;
  /** As stated for its workspace, else for its route. */
  priority: number;
  /** Its place among the requests of its service; 0 is the most urgent. */
  rank: number;
  arrived: Milliseconds;
  deadline: Milliseconds;
  /** The configuration that admitted it. */
  version: number;
}
