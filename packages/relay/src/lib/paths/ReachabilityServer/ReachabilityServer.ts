import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { isListening } from '../../upstream/isListening.js';
import { pathOptions } from '../pathOptions.js';

/** Contains the version of the format. */
export const REACHABILITY_PATH = '/paths/v1';

/** Dependencies of {@link ReachabilityServer}. */
export interface ReachabilityServerParts {
  findReplica: (id: string) => RelayReplica | undefined;
  /** Whether this daemon reaches no replicas itself, so that its observation proves nothing. */
  isIsolated: () => boolean;
}

const NOT_FOUND = 404;

/** Tells other daemons whether a replica accepts connections of this one. */
export class ReachabilityServer {
  private readonly pending = new Map<string, Promise<boolean | undefined>>();

  constructor(private readonly parts: ReachabilityServerParts) {}

  /** Handles the requests below {@link REACHABILITY_PATH}. */
  readonly handler = (request: IncomingMessage, response: ServerResponse): void => {
    const id = decodeURIComponent((request.url ?? '').slice(REACHABILITY_PATH.length + 1));
    const replica = this.parts.findReplica(id);
    request.resume();
    if (replica === undefined) {
      response.statusCode = NOT_FOUND;
      response.end();
      return;
    }
    this.probe(replica).then((isUp) => {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ isUp: isUp ?? null }));
    }, response.destroy.bind(response));
  };

  /** Several daemons that are partitioned at the same time ask for the same replicas. */
  private probe(replica: RelayReplica): Promise<boolean | undefined> {
    const known = this.pending.get(replica.id);
    if (known !== undefined) {
      return known;
    }
    const result = isListening(replica.address, pathOptions.probeTimeout)
      .then((isUp) => (isUp === true || !this.parts.isIsolated() ? isUp : undefined))
      .finally(() => this.pending.delete(replica.id));
    this.pending.set(replica.id, result);
    return result;
  }
}
