import { decodeEnvelope, encodeEnvelope } from '@apricotrill/mesh';
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
  /** Told of each message's bytes, when it is to be encoded as on the wire. */
  onBytes?: (from: string, to: string, bytes: number) => void;
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
    const take = this.pack(from, call.address, encodeRequest(call.request));
    this.carry(from.address, call.address, () => {
      const host = this.hosts.get(call.address);
      host?.deliver(() =>
        host.receive(from.id, decodeRequest(take(), from.id), (answer) =>
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
    const take = this.pack(host, to.address, encodeAnswer(answer));
    this.carry(host.address, to.address, () =>
      to.deliver(() => settle(decodeAnswer(take(), host.id))),
    );
  }

  /** Encodes a message as on the wire, if its bytes are wanted. */
  private pack({ id, address }: CoreHost, to: string, body: unknown): () => unknown {
    const { onBytes } = this.settings;
    if (onBytes === undefined) {
      return () => body;
    }
    const bytes = encodeEnvelope({ topic: 'membership', from: id, body });
    onBytes(address, to, bytes.length);
    return () => decodeEnvelope(bytes).body;
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
