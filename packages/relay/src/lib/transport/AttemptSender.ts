import type { OutgoingAttempt, TransportParts } from './SentAttempt/SentAttempt.js';
import { SentAttempt } from './SentAttempt/SentAttempt.js';

/** Sends attempts to replicas, and has them watched for silence until they end. */
export class AttemptSender {
  constructor(private readonly parts: TransportParts) {}

  send(attempt: OutgoingAttempt): SentAttempt {
    const { paths } = this.parts;
    const sent: SentAttempt = new SentAttempt(this.parts, attempt, () => paths.unwatch(sent));
    paths.watch(sent);
    sent.start();
    return sent;
  }
}
