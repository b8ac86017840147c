import type { Milliseconds } from '@apricotrill/utils';
import type { RelayRoute, RelayWorkspace } from '../config/RelayConfiguration.js';
import type { CallerFields } from '../protocol/RelayProtocol.js';

/** A request that was read whole, with all that admits it. */
export interface ReceivedRequest {
  /** Unique over all daemons and time. */
  id: string;
  method: string;
  /** Path and query, as the caller sent them. */
  target: string;
  /** As they came, without those of the caller's connection. */
  rawHeaders: string[];
  body: Buffer | undefined;
  fields: CallerFields;
  route: RelayRoute;
  service: string;
  /** Absent where callers need no keys. */
  workspace: RelayWorkspace | undefined;
  priority: number;
  /** Its place among requests of the same priority: 0 before 1. */
  urgency: number;
  arrived: Milliseconds;
  deadline: Milliseconds;
  /** The configuration that admitted it. */
  version: number;
}
