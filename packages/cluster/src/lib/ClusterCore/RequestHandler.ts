import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { AntiEntropy } from '../AntiEntropy/AntiEntropy.js';
import type { ConfigurationDistributor } from '../ConfigurationDistributor/ConfigurationDistributor.js';
import type { CoreContext } from '../CoreContext.js';
import type { LoadDigests } from '../LoadDigests/LoadDigests.js';
import type { PeerResponse, PeerRequest, Rumour } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import type { PeerGossip } from './PeerGossip.js';

type IndirectPing = Extract<PeerRequest, { kind: 'indirect-ping' }>;

interface RequestHandlerSettings {
  context: CoreContext;
  calls: PeerCalls;
  peerGossip: PeerGossip;
  distributor: ConfigurationDistributor;
  antiEntropy: AntiEntropy;
  loads: LoadDigests;
  reply: (requestId: number, response: PeerResponse) => void;
}

/** Handles the requests of peers. */
export class RequestHandler {
  constructor(private readonly settings: RequestHandlerSettings) {}

  handleRequest(requestId: number, from: string, request: PeerRequest): void {
    this.settings.context.counters.requests += 1;
    this.settings.peerGossip.handleGeneration(from, request.generation);
    if (request.kind === 'indirect-ping') {
      this.handleIndirectPing(requestId, from, request);
    } else {
      this.settings.reply(requestId, this.respond(from, request));
    }
  }

  private respond(from: string, request: Exclude<PeerRequest, IndirectPing>): PeerResponse {
    const { antiEntropy, loads, distributor, peerGossip } = this.settings;
    switch (request.kind) {
      case 'ping':
        return request.member === peerGossip.selfId
          ? this.createAck(from, request.rumours)
          : { kind: 'nack', generation: distributor.getGeneration() };
      case 'gossip':
        return this.createAck(from, request.rumours);
      case 'sync':
        return antiEntropy.handleSyncRequest(request);
      case 'fetch-manifest':
        return distributor.createManifestResponse(request.generation);
      case 'fetch-parts':
        return distributor.createPartsResponse(request.hashes);
      case 'load':
        loads.handleLoad(from, request.services);
        return this.createAck(from, []);
      default:
        throw exhaustiveSwitchError(request);
    }
  }

  private createAck(from: string, rumours: readonly Rumour[]): PeerResponse {
    const { distributor, peerGossip } = this.settings;
    const corrections = peerGossip.handleRumours(rumours);
    const ownRumours = [
      ...corrections,
      ...peerGossip.getUpdatesAbout(from),
      ...peerGossip.takeRumours(rumours),
    ];
    return { kind: 'ack', generation: distributor.getGeneration(), rumours: ownRumours };
  }

  /** Pings a member on behalf of a peer that got no response from it. */
  private handleIndirectPing(requestId: number, from: string, request: IndirectPing): void {
    const { calls, context, reply, distributor, peerGossip } = this.settings;
    peerGossip.handleRumours(request.rumours);
    const ping = {
      kind: 'ping',
      generation: distributor.getGeneration(),
      member: request.member,
      rumours: request.rumours,
    } as const;
    calls.call(request.address, ping, context.options.indirectProbeTimeout, (response) => {
      const generation = distributor.getGeneration();
      if (response?.kind === 'ack') {
        peerGossip.handleRumours(response.rumours);
        reply(requestId, { kind: 'ack', generation, rumours: [...response.rumours] });
      } else {
        reply(requestId, { kind: 'nack', generation });
      }
    });
  }
}
