import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { AntiEntropy } from '../AntiEntropy/AntiEntropy.js';
import type { ConfigurationSpread } from '../ConfigurationDistributor/ConfigurationDistributor.js';
import type { CoreContext } from '../CoreContext.js';
import type { LoadDigests } from '../LoadDigests/LoadDigests.js';
import type { PeerAnswer, PeerRequest, Rumour } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import type { PeerTalk } from './PeerGossip.js';

type PingThrough = Extract<PeerRequest, { kind: 'ping-through' }>;

interface RequestParts {
  context: CoreContext;
  calls: PeerCalls;
  talk: PeerTalk;
  spread: ConfigurationSpread;
  antiEntropy: AntiEntropy;
  loads: LoadDigests;
  reply: (requestId: number, answer: PeerAnswer) => void;
}

/** Answers what peers ask. */
export class RequestHandler {
  constructor(private readonly parts: RequestParts) {}

  handle(requestId: number, from: string, request: PeerRequest): void {
    this.parts.context.counters.requests += 1;
    this.parts.talk.hearGeneration(from, request.generation);
    if (request.kind === 'ping-through') {
      this.pingFor(requestId, from, request);
    } else {
      this.parts.reply(requestId, this.getAnswer(from, request));
    }
  }

  private getAnswer(from: string, request: Exclude<PeerRequest, PingThrough>): PeerAnswer {
    const { antiEntropy, loads, spread, talk } = this.parts;
    switch (request.kind) {
      case 'ping':
        return request.member === talk.self
          ? this.getAck(from, request.rumours)
          : { kind: 'nothing', generation: spread.getGeneration() };
      case 'gossip':
        return this.getAck(from, request.rumours);
      case 'sync':
        return antiEntropy.answer(request);
      case 'fetch-manifest':
        return spread.answerManifest(request.generation);
      case 'fetch-parts':
        return spread.answerParts(request.hashes);
      case 'load':
        loads.hearLoad(from, request.services);
        return this.getAck(from, []);
      default:
        throw exhaustiveSwitchError(request);
    }
  }

  private getAck(from: string, rumours: readonly Rumour[]): PeerAnswer {
    const { spread, talk } = this.parts;
    const told = talk.hearRumours(rumours);
    const own = [...told, ...talk.getWordOn(from), ...talk.takeRumours(rumours)];
    return { kind: 'ack', generation: spread.getGeneration(), rumours: own };
  }

  /** Probes a member for a peer that got no answer from it. */
  private pingFor(requestId: number, from: string, request: PingThrough): void {
    const { calls, context, reply, spread, talk } = this.parts;
    talk.hearRumours(request.rumours);
    const ping = {
      kind: 'ping',
      generation: spread.getGeneration(),
      member: request.member,
      rumours: request.rumours,
    } as const;
    calls.call(request.address, ping, context.options.indirectTimeout, (answer) => {
      const generation = spread.getGeneration();
      if (answer?.kind === 'ack') {
        talk.hearRumours(answer.rumours);
        reply(requestId, { kind: 'ack', generation, rumours: [...answer.rumours] });
      } else {
        reply(requestId, { kind: 'nothing', generation });
      }
    });
  }
}
