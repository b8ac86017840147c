import type { Clock, Milliseconds } from '@apricotrill/utils';
import { getPlacement } from '../../getPlacement.js';
import type {
  AdmissionClaim,
  PlacementEffect,
  PlacementQuery,
  PlacementResponse,
} from '../../messages.js';
import type { PeerAttempts } from '../../PeerAttempts/PeerAttempts.js';
import type { AdmissionAnswer, AdmissionControl } from '../AdmissionControl/AdmissionControl.js';

/** A query with a claim. */
export type ClaimedQuery = PlacementQuery & { claim: AdmissionClaim };

/** Dependencies of {@link PeerQueries}. */
export interface PeerQueriesParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  control: AdmissionControl;
  peerAttempts: PeerAttempts;
}

/** Options for the queries of peers about requests under admission control. */
export const peerQueryOptions = {
  /** How long a decision is remembered, for copies of its query that arrive late. */
  retention: 10_000 satisfies Milliseconds,
  /**
   * Daemons repeat the query of a waiting request at least every two seconds. One that has not for this long
   * has been killed or does not know of the query any more.
   */
  timeout: 5_000 satisfies Milliseconds,
  /** Minimum interval between two searches for queries that can be forgotten. */
  sweepInterval: 1_000 satisfies Milliseconds,
};

interface KnownQuery {
  peer: string;
  key: string;
  /** Absent until the decision, and when the peer has ended the query. */
  response?: PlacementResponse;
  /** When it was last received, decided or ended. */
  changedAt: Milliseconds;
  isWaiting: boolean;
}

/**
 * Answers the queries of peers about requests under admission control. Datagrams are lost, late and
 * duplicated: each query is decided once, and a copy gets the same response.
 */
export class PeerQueries {
  private readonly queries = new Map<string, KnownQuery>();

  private sweptAt: Milliseconds;

  constructor(private readonly parts: PeerQueriesParts) {
    this.sweptAt = parts.clock.now();
  }

  handle(peer: string, query: ClaimedQuery): void {
    const { clock, control } = this.parts;
    const { key } = query;
    const id = PeerQueries.getId(peer, key);
    this.sweep();
    const known = this.queries.get(id);
    if (known !== undefined && !this.isDropped(known)) {
      this.repeat(known);
      return;
    }
    const added = { peer, key, changedAt: clock.now(), isWaiting: true };
    this.queries.set(id, added);
    control.apply({ ...query, daemon: peer }, (answer) => this.answer(added, query, answer));
  }

  /** Records that a peer's request needs no decision any more, also if its query is still on the way. */
  handleEnded(peer: string, key: string): void {
    const { clock, control, peerAttempts } = this.parts;
    const id = PeerQueries.getId(peer, key);
    const isOther = !this.queries.has(id) && peerAttempts.has(peer, key);
    if (isOther || !control.isActive) {
      return;
    }
    this.sweep();
    control.withdraw({ daemon: peer, key });
    this.queries.set(id, { peer, key, changedAt: clock.now(), isWaiting: false });
  }

  /** Withdraws the requests of a peer that is gone. */
  removePeer(peer: string): void {
    this.queries.forEach((query, id) => {
      if (query.peer === peer) {
        this.remove(id, query);
      }
    });
  }

  /** Forgets decisions that no copy of a query asks for any more, and queries that nobody repeats. */
  sweep(): void {
    const { retention, timeout, sweepInterval } = peerQueryOptions;
    const now = this.parts.clock.now();
    if (now - this.sweptAt < sweepInterval) {
      return;
    }
    this.sweptAt = now;
    this.queries.forEach((query, id) => {
      if (now - query.changedAt > (query.isWaiting ? timeout : retention)) {
        this.remove(id, query);
      }
    });
  }

  private answer(known: KnownQuery, query: ClaimedQuery, answer: AdmissionAnswer): void {
    const { key, criteria } = query;
    const { peer } = known;
    const { emit, peerAttempts } = this.parts;
    switch (answer.kind) {
      case 'begin': {
        const { state, choice } = answer.chosen;
        const { replica } = state;
        peerAttempts.addPlaced(peer, key, criteria, answer.chosen);
        this.respond(known, { key, placement: getPlacement(replica.id, choice) });
        emit({ kind: 'placed-for', peer, key, replica, choice });
        break;
      }
      case 'wait':
        this.respond(known, { key, queued: { expectedWait: answer.expectedWait } });
        break;
      case 'refuse':
        this.respond(known, { key, refused: { retryAfter: answer.retryAfter } });
        break;
      case 'no-room':
        this.respond(known, { key });
        break;
      default:
        answer satisfies never;
    }
  }

  private respond(known: KnownQuery, response: PlacementResponse): void {
    const changedAt = this.parts.clock.now();
    Object.assign(known, { response, changedAt, isWaiting: response.queued !== undefined });
    this.send(known.peer, response);
  }

  /**
   * Whether the attempt that began is no longer counted, though the peer has not ended it: the response was
   * lost for so long that the attempt was missing from the list of the peer.
   */
  private isDropped({ peer, key, response }: KnownQuery): boolean {
    return response?.placement !== undefined && !this.parts.peerAttempts.has(peer, key);
  }

  private repeat(known: KnownQuery): void {
    const { peer, key, response, changedAt } = known;
    if (response?.queued !== undefined) {
      const passed = this.parts.clock.now() - changedAt;
      const expectedWait = Math.max(0, response.queued.expectedWait - passed);
      this.respond(known, { key, queued: { expectedWait } });
    } else if (response !== undefined) {
      this.send(peer, response);
    }
  }

  private remove(id: string, { peer, key, isWaiting }: KnownQuery): void {
    this.queries.delete(id);
    if (isWaiting) {
      this.parts.control.withdraw({ daemon: peer, key });
    }
  }

  private send(peer: string, response: PlacementResponse): void {
    this.parts.emit({ kind: 'share', to: peer, update: { kind: 'reply', response } });
  }

  private static getId(peer: string, key: string): string {
    return `${peer} ${key}`;
  }
}
