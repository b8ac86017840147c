import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { PeerUpdate } from '../PeerUpdate.js';

/** How updates are batched. */
export const outboxOptions = {
  /**
   * How long an update that is not urgent may wait for others. A delay of some tens of milliseconds
   * in reporting the end of an attempt hardly affects placement.
   */
  batchDelay: 60 satisfies Milliseconds,
  /** Updates per datagram; it keeps datagrams below the MTU of 1,500 bytes. */
  maxBatchSize: 5,
};

/** Settings of an outbox. */
export interface OutboxSettings {
  clock: Clock;
  /** Sends updates to one peer, or to all live peers if `recipient` is undefined. */
  send: (updates: PeerUpdate[], recipient: string | undefined) => void;
}

interface Batch {
  updates: PeerUpdate[];
  timer: Timer | undefined;
}

/** Whether other daemons may need the update for a placement in progress, or are waiting for it. */
function isUrgent(update: PeerUpdate, recipient: string | undefined): boolean {
  switch (update.kind) {
    case 'placed':
    case 'attempt-broken':
    case 'crashed':
    case 'cleared':
    case 'quarantined':
    case 'limits':
    case 'fragile':
    case 'turned-away':
    case 'leaving':
    case 'backoffs':
    case 'isolation':
    case 'overload':
    case 'ask':
    case 'reply':
      return true;
    case 'first-byte-received':
      // A placer learns the prefill rate of an engine from the time at which this arrives.
      return recipient !== undefined;
    case 'ended':
      return update.isUrgent === true;
    case 'attempt-list':
    case 'group-loads':
    case 'usage':
    case 'demand':
      return false;
    default:
      return update satisfies never;
  }
}

/**
 * Batches outgoing updates by recipient. An urgent update is sent at once, along with those that are
 * waiting for the same recipient.
 */
export class Outbox {
  private readonly batches = new Map<string | undefined, Batch>();

  constructor(private readonly settings: OutboxSettings) {}

  /** @param recipient - the ID of one peer; undefined for all live peers */
  add(update: PeerUpdate, recipient: string | undefined): void {
    const batch = this.batches.get(recipient) ?? { updates: [], timer: undefined };
    this.batches.set(recipient, batch);
    batch.updates.push(update);
    if (isUrgent(update, recipient) || batch.updates.length >= outboxOptions.maxBatchSize) {
      this.flush(recipient);
      return;
    }
    batch.timer ??= this.settings.clock.setTimer(outboxOptions.batchDelay, () =>
      this.flush(recipient),
    );
  }

  dispose(): void {
    this.batches.forEach(({ timer }) => timer?.cancel());
    this.batches.clear();
  }

  private flush(recipient: string | undefined): void {
    const batch = this.batches.get(recipient);
    if (batch !== undefined) {
      batch.timer?.cancel();
      this.batches.delete(recipient);
      this.settings.send(batch.updates, recipient);
    }
  }
}
