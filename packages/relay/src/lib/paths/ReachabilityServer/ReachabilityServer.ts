import { decodePathSegment } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { isReached } from '../ReplicaCheck/ReplicaCheck.js';
import type { CheckResult } from '../ReplicaCheck/ReplicaCheck.js';

/** Contains the version of the format. */
export const REACHABILITY_PATH = '/paths/v1';

/** Dependencies of {@link ReachabilityServer}. */
export interface ReachabilityServerParts {
  findReplica: (id: string) => RelayReplica | undefined;
  check: (replica: RelayReplica) => Promise<CheckResult>;
  /** Whether this daemon reaches no replicas itself, so that its observation proves nothing. */
  isIsolated: () => boolean;
}

const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/** Tells other daemons whether this one reaches a replica. */
export class ReachabilityServer {
  constructor(private readonly parts: ReachabilityServerParts) {}

  /** Handles the requests below {@link REACHABILITY_PATH}. */
  readonly handler = (request: IncomingMessage, response: ServerResponse): void => {
    const id = decodePathSegment((request.url ?? '').slice(REACHABILITY_PATH.length + 1));
    const replica = id === undefined ? undefined : this.parts.findReplica(id);
    request.resume();
    if (replica === undefined) {
      response.statusCode = id === undefined ? BAD_REQUEST : NOT_FOUND;
      response.end();
      return;
    }
    this.probe(replica).then((isUp) => {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ isUp: isUp ?? null }));
    }, response.destroy.bind(response));
  };

  private async probe(replica: RelayReplica): Promise<boolean | undefined> {
    const isUp = isReached(await this.parts.check(replica));
    return isUp === true || !this.parts.isIsolated() ? isUp : undefined;
  }
}
