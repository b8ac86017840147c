import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import {
  decodeAnswer,
  decodeRequest,
  encodeAnswer,
  encodeRequest,
} from '../lib/codec/messageCodec.js';
import type { CoreEffect } from '../lib/coreMessages.js';
import type { PeerAnswer } from '../lib/messages.js';
import type { CoreHost } from './CoreHost.js';

type Call = Extract<CoreEffect, { kind: 'call' }>;

/** What the carrier does to one message. */
export type Fate = { kind: 'lost' } | { kind: 'carried'; delay: Milliseconds; copies: number };

interface CarrierSettings {
  clock: Clock;
  /** Decides on each message by the ends' addresses. */
  getFate: (from: string, to: string) => Fate;
  /** Told of each message as it would be encoded; `isAnswer` for answers. */
  onMessage?: (from: string, to: string, encoded: unknown, isAnswer: boolean) => void;
}

/** Carries calls between cores of this process, in the form in which they would be encoded. */
export class Carrier {
  private readonly hosts = new Map<string, CoreHost>();

  constructor(private readonly settings: CarrierSettings) {}

  add(host: CoreHost): void {
    this.hosts.set(host.address, host);
  }

  remove(host: CoreHost): void {
    if (this.hosts.get(host.address) === host) {
      this.hosts.delete(host.address);
    }
  }

  /** The timeout runs on the caller's own clock, which may stand still. */
  call(from: CoreHost, call: Call, onOutcome: (answer: PeerAnswer | undefined) => void): void {
    let timer: Timer | undefined;
    const settle = (answer: PeerAnswer | undefined) => {
      if (timer !== undefined) {
        timer.cancel();
        timer = undefined;
        onOutcome(answer);
      }
    };
    timer = from.clock.setTimer(call.timeout, () => settle(undefined));
    const encoded = encodeRequest(call.request);
    this.settings.onMessage?.(from.address, call.address, encoded, false);
    this.carry(from.address, call.address, () => {
      const host = this.hosts.get(call.address);
      host?.deliver(() =>
        host.receive(from.id, decodeRequest(encoded, from.id), (answer) =>
          this.answer(host, from, answer, settle),
        ),
      );
    });
  }

  private answer(
    host: CoreHost,
    to: CoreHost,
    answer: PeerAnswer,
    settle: (answer: PeerAnswer) => void,
  ): void {
    const encoded = encodeAnswer(answer);
    this.settings.onMessage?.(host.address, to.address, encoded, true);
    this.carry(host.address, to.address, () =>
      to.deliver(() => settle(decodeAnswer(encoded, host.id))),
    );
  }

  private carry(from: string, to: string, arrive: () => void): void {
    const fate = this.settings.getFate(from, to);
    if (fate.kind === 'carried') {
      for (let copy = 0; copy < fate.copies; copy += 1) {
        this.settings.clock.setTimer(fate.delay * (1 + copy), arrive);
      }
    }
  }
}
