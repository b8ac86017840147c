import { decodeEnvelope, encodeEnvelope } from '@apricotrill/mesh';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import {
  decodeResponse,
  decodeRequest,
  encodeResponse,
  encodeRequest,
} from '../lib/codec/messageCodec.js';
import type { CoreEffect } from '../lib/coreMessages.js';
import type { PeerResponse } from '../lib/messages.js';
import type { CoreHost } from './CoreHost.js';

type Call = Extract<CoreEffect, { kind: 'call' }>;

/** What the network does with one message. */
export type Delivery =
  { kind: 'lost' } | { kind: 'delivered'; delay: Milliseconds; copies: number };

interface SimulatedNetworkSettings {
  clock: Clock;
  /** Decides what happens to a message, by the addresses of sender and receiver. */
  getDelivery: (from: string, to: string) => Delivery;
  /** Called with each message's size. If set, messages are encoded as on the wire. */
  onMessageBytes?: (from: string, to: string, bytes: number) => void;
}

/** Delivers calls between cores in this process, in the form that would be encoded on the wire. */
export class SimulatedNetwork {
  private readonly hosts = new Map<string, CoreHost>();

  constructor(private readonly settings: SimulatedNetworkSettings) {}

  add(host: CoreHost): void {
    this.hosts.set(host.address, host);
  }

  remove(host: CoreHost): void {
    if (this.hosts.get(host.address) === host) {
      this.hosts.delete(host.address);
    }
  }

  /** Calls a peer. The timeout runs on the caller's own clock, which may be frozen. */
  call(from: CoreHost, call: Call, onResult: (response: PeerResponse | undefined) => void): void {
    let timer: Timer | undefined;
    const settle = (response: PeerResponse | undefined) => {
      if (timer !== undefined) {
        timer.cancel();
        timer = undefined;
        onResult(response);
      }
    };
    timer = from.clock.setTimer(call.timeout, () => settle(undefined));
    const decode = this.encode(from, call.address, encodeRequest(call.request));
    this.transmit(from.address, call.address, () => {
      const host = this.hosts.get(call.address);
      host?.deliver(() =>
        host.receive(from.id, decodeRequest(decode(), from.id), (response) =>
          this.respond(host, from, response, settle),
        ),
      );
    });
  }

  private respond(
    host: CoreHost,
    to: CoreHost,
    response: PeerResponse,
    settle: (response: PeerResponse) => void,
  ): void {
    const decode = this.encode(host, to.address, encodeResponse(response));
    this.transmit(host.address, to.address, () =>
      to.deliver(() => settle(decodeResponse(decode(), host.id))),
    );
  }

  /** Encodes a message as on the wire if its size is to be reported. */
  private encode({ id, address }: CoreHost, to: string, body: unknown): () => unknown {
    const { onMessageBytes } = this.settings;
    if (onMessageBytes === undefined) {
      return () => body;
    }
    const bytes = encodeEnvelope({ topic: 'membership', from: id, body });
    onMessageBytes(address, to, bytes.length);
    return () => decodeEnvelope(bytes).body;
  }

  private transmit(from: string, to: string, onArrival: () => void): void {
    const delivery = this.settings.getDelivery(from, to);
    if (delivery.kind === 'delivered') {
      for (let copy = 0; copy < delivery.copies; copy += 1) {
        this.settings.clock.setTimer(delivery.delay * (1 + copy), onArrival);
      }
    }
  }
}
