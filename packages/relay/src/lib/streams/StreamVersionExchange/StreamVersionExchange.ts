import { readBody } from '@apricotrill/callers';
import { decodePathSegment, getHash, getRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import polka from 'polka';
import * as z from 'zod';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { waitAtMost } from '../../daemon/waitAtMost.js';
import { HttpClient, parseJson } from '../../http/HttpClient.js';
import type { HttpResponse } from '../../http/HttpClient.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { RelayMetrics } from '../../observe/RelayMetrics.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import type { PeerServer } from '../../peers/PeerServer/PeerServer.js';
import { streamOptions } from '../streamOptions.js';
import type { StreamVersionRecorder } from '../StreamVersionRecorder/StreamVersionRecorder.js';
import type { StreamVersions, StreamVersion } from '../StreamVersions/StreamVersions.js';

/** Contains the version of the format. */
export const STREAMS_PATH = '/streams/v1';

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/** Room for the largest message: 200 streams with names of several hundred bytes. */
const MAX_BODY_BYTES = 262_144;

/** ID, service, software version. */
const streamSchema = z.tuple([z.string(), z.string(), z.string()]);

const toldSchema = z.array(streamSchema);

const answerSchema = z.object({
  /** Service and software version; null if the stream is not known. */
  stream: z.tuple([z.string(), z.string()]).nullable(),
  versions: z.array(z.string()),
  isCovered: z.boolean(),
});

type Answer = z.infer<typeof answerSchema>;

/** Stands for the stream of a caller that names none; only the versions of the service are asked for. */
const NO_STREAM = '-';

/** Name by which the daemons that store streams are chosen. */
const RECORDERS = 'recorders of streams';

/** What a daemon of the release before contributes. */
const NO_ANSWER: Answer = { stream: null, versions: [], isCovered: false };

/** Where the version of a stream is known from. */
export enum VersionSource {
  /** This daemon has forwarded events of the stream. */
  Own = 'own',
  /** Another daemon has been told of it. */
  Peer = 'peer',
  /** The service had no other version in the time in which the stream can have begun. */
  OnlyVersion = 'only-version',
}

/** Where a stream that a caller resumes may go on. */
export type Resumption =
  | { kind: 'known'; service: string; softwareVersion: string; source: VersionSource }
  | { kind: 'unknown' };

/** A return of a caller. */
export interface ReturnedStream {
  /** ID of the request that takes the stream up. */
  id: string;
  /** The request that brought its first event; undefined if the caller doesn't name it. */
  resumes: string | undefined;
  /** The services that the route sends requests to. */
  services: readonly string[];
}

/** A stream of which a replica has sent its first event. */
export interface StartedStream {
  /** The requests under which its caller may resume it. */
  ids: readonly string[];
  service: string;
  softwareVersion: string;
  /** Whether the route sends requests to several services. */
  isSplit: boolean;
}

/** Dependencies of {@link StreamVersionExchange}. */
export interface StreamVersionExchangeParts {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  self: PeerEntry;
  peerServer: PeerServer;
  versions: StreamVersions;
  /** Stores the streams of which this daemon is the recorder. */
  recorder: StreamVersionRecorder;
}

/**
 * Makes the software version of a stream known where its caller may resume it. While a service has several
 * versions, a few daemons that each daemon computes from the stream's ID are told; while it has one, nobody
 * needs to be. One of them, the recorder, also stores it, so that it is known after all daemons were lost.
 */
export class StreamVersionExchange {
  private readonly client = new HttpClient();

  private peers = new Map<string, PeerEntry>();

  /** IDs of the daemons that store streams, this one possibly among them. */
  private recorders: string[] = [];

  /** Resolves once the stored streams are known; undefined if nothing is read. */
  private loading: Promise<void> | undefined;

  /** Streams that began before any other daemon was known. */
  private early: StreamVersion[] = [];

  /** Streams that a holder is yet to be told of, by its ID; present while a message is on its way. */
  private readonly untold = new Map<string, StreamVersion[]>();

  constructor(private readonly parts: StreamVersionExchangeParts) {
    const app = polka({ server: createServer() });
    app.post(`${STREAMS_PATH}/told`, (request, response) => {
      this.handleTold(request, response).catch((error: unknown) => {
        parts.log({ event: 'fault', step: 'take versions of streams', error: String(error) });
        response.destroy();
      });
    });
    app.get(`${STREAMS_PATH}/find/:id`, (request, response) => {
      const { id, service } = { ...request.query, ...request.params } as Record<string, string>;
      const decoded = decodePathSegment(id ?? '');
      if (decoded === undefined) {
        response.statusCode = BAD_REQUEST;
        response.end();
        return;
      }
      this.handleFind(response, decoded, service ?? '');
    });
    parts.peerServer.addHandler(STREAMS_PATH, app.handler.bind(app) as unknown as RequestListener);
  }

  /** Sets the live daemons, including this one. */
  setFleet(daemons: readonly PeerEntry[]): void {
    const others = daemons.filter(({ id }) => id !== this.parts.self.id);
    this.peers = new Map(others.map((peer) => [peer.id, peer]));
    const count = Math.ceil(daemons.length / streamOptions.daemonsPerRecorder);
    const ids = [this.parts.self.id, ...this.peers.keys()];
    this.recorders = getRendezvousOrder(RECORDERS, ids).slice(0, Math.max(1, count));
    if (this.peers.size > 0) {
      this.tell(this.early.splice(0));
    }
  }

  /**
   * Reads the streams that daemons have stored, which may all be lost by now.
   *
   * @param isFirstStart - whether there were no streams before
   */
  load(isFirstStart: boolean): void {
    const { log, recorder, versions } = this.parts;
    if (isFirstStart) {
      recorder.startEmpty();
      return;
    }
    this.loading = recorder.load().then(
      (streams) => {
        streams.forEach((stream) => versions.record(stream));
        this.loading = undefined;
        log({ event: 'streams-loaded', streams: streams.length });
      },
      (error: unknown) => {
        log({ event: 'fault', step: 'load versions of streams', error: String(error) });
      },
    );
  }

  /** Sets the longest time-out of a route whose streams can be resumed. */
  setLongestTimeout(timeout: Milliseconds): void {
    const { recorder, versions } = this.parts;
    versions.setLongestTimeout(timeout);
    recorder.setResumeTime(versions.resumeTime);
  }

  /** Applies the newest list of replicas. */
  setReplicas(replicas: readonly RelayReplica[]): void {
    const { log, versions } = this.parts;
    versions.setReplicas(replicas).forEach((service) => {
      const streams = versions.getStreams(service);
      const { versions: names } = versions.getHistory(service);
      log({ event: 'versions-mixed', service, versions: names, streams: streams.length });
      this.tell(streams);
    });
  }

  /** Records that a replica has sent the first event of a stream, or of its continuation. */
  recordStart({ ids, service, softwareVersion, isSplit }: StartedStream): void {
    const { versions } = this.parts;
    const streams = ids.map((id) => ({ id, service, softwareVersion }));
    streams.forEach((stream) => versions.record(stream));
    if (isSplit || versions.isMixed(service)) {
      this.tell(streams);
    }
  }

  /** Finds out at which version a stream may go on. */
  async find({ id, resumes, services }: ReturnedStream): Promise<Resumption> {
    const { clock, log, metrics } = this.parts;
    const startedAt = clock.now();
    const resumption = await this.findVersion(resumes, services);
    const after = clock.now() - startedAt;
    const source = resumption.kind === 'known' ? resumption.source : 'unknown';
    const softwareVersion = resumption.kind === 'known' ? resumption.softwareVersion : undefined;
    metrics.resumptions.inc({ source });
    log({ event: 'stream-returned', id, resumes, source, softwareVersion, after });
    return resumption;
  }

  async dispose(): Promise<void> {
    this.parts.recorder.dispose();
    await this.client.dispose();
  }

  private async findVersion(
    resumes: string | undefined,
    services: readonly string[],
  ): Promise<Resumption> {
    const own = resumes === undefined ? undefined : await this.findOwn(resumes);
    if (own !== undefined) {
      return StreamVersionExchange.getResumption(own, services, VersionSource.Own);
    }
    const [service] = services;
    const holders = this.getHolders(resumes ?? service ?? '');
    const calls = holders.map((peer) => this.ask(peer, resumes ?? NO_STREAM, service ?? ''));
    const answers = (await Promise.all(calls)).filter((answer) => answer !== undefined);
    const told = answers.find(({ stream }) => stream !== null)?.stream;
    if (told !== undefined && told !== null && resumes !== undefined) {
      const stream = { id: resumes, service: told[0], softwareVersion: told[1] };
      this.parts.versions.record(stream);
      return StreamVersionExchange.getResumption(stream, services, VersionSource.Peer);
    }
    const isAlone = holders.length === 0;
    return services.length === 1 && (isAlone || answers.length > 0)
      ? this.getOnlyVersion(service!, answers)
      : { kind: 'unknown' };
  }

  /** Finds a stream that this daemon knows, or that is stored. */
  private async findOwn(id: string): Promise<StreamVersion | undefined> {
    const { clock, versions } = this.parts;
    if (versions.find(id) === undefined && this.loading !== undefined) {
      await waitAtMost(this.loading, clock, streamOptions.callTimeout);
    }
    return versions.find(id);
  }

  private static getResumption(
    { service, softwareVersion }: StreamVersion,
    services: readonly string[],
    source: VersionSource,
  ): Resumption {
    return services.includes(service)
      ? { kind: 'known', service, softwareVersion, source }
      : { kind: 'unknown' };
  }

  /** The only version of a service, if this daemon and those that were asked know of no other. */
  private getOnlyVersion(service: string, answers: readonly Answer[]): Resumption {
    const histories = [this.parts.versions.getHistory(service), ...answers];
    const all = new Set(histories.flatMap(({ versions }) => versions));
    const [softwareVersion] = all;
    const isCertain = all.size === 1 && histories.some(({ isCovered }) => isCovered);
    return isCertain && softwareVersion !== undefined
      ? { kind: 'known', service, softwareVersion, source: VersionSource.OnlyVersion }
      : { kind: 'unknown' };
  }

  /** The daemons that hold the version of a stream, its recorder first; all daemons compute the same. */
  private getHolders(id: string): PeerEntry[] {
    const recorder = this.getRecorder(id);
    const others = getRendezvousOrder(id, [...this.peers.keys()]);
    return [...new Set([...(recorder === undefined ? [] : [recorder]), ...others])]
      .flatMap((peer) => this.peers.get(peer) ?? [])
      .slice(0, streamOptions.holders);
  }

  /** The daemon that stores a stream; undefined while no daemon is known. */
  private getRecorder(id: string): string | undefined {
    return this.recorders.length === 0
      ? undefined
      : this.recorders[getHash(id) % this.recorders.length];
  }

  /** Stores a stream if this daemon is its recorder. */
  private store(stream: StreamVersion): void {
    if (this.getRecorder(stream.id) === this.parts.self.id) {
      this.parts.recorder.add(stream);
    }
  }

  private tell(streams: readonly StreamVersion[]): void {
    streams.forEach((stream) => this.store(stream));
    if (this.peers.size === 0) {
      this.early = [...this.early, ...streams].slice(-streamOptions.maxTold);
      return;
    }
    streams.forEach((stream) =>
      this.getHolders(stream.id).forEach((holder) => {
        const untold = this.untold.get(holder.id);
        if (untold === undefined) {
          this.untold.set(holder.id, [stream]);
          this.tellHolder(holder).catch((error: unknown) => {
            this.untold.delete(holder.id);
            const step = `tell ${holder.id} the versions of streams`;
            this.parts.log({ event: 'fault', step, error: String(error) });
          });
        } else {
          untold.push(stream);
        }
      }),
    );
  }

  /** Tells a holder what it has not been told yet, in one message at a time. */
  private async tellHolder(holder: PeerEntry): Promise<void> {
    const untold = this.untold.get(holder.id)!;
    while (untold.length > 0) {
      // eslint-disable-next-line no-await-in-loop
      await this.send(holder, untold.splice(0, streamOptions.maxTold));
    }
    this.untold.delete(holder.id);
  }

  private async send({ address }: PeerEntry, streams: readonly StreamVersion[]): Promise<void> {
    const told = streams.map(({ id, service, softwareVersion }) => [id, service, softwareVersion]);
    await this.client.send({
      step: 'tell versions of streams',
      method: 'POST',
      address,
      path: `${STREAMS_PATH}/told`,
      body: JSON.stringify(told),
      timeout: streamOptions.callTimeout,
    });
  }

  /** @returns undefined if the daemon does not answer */
  private async ask(
    { id: peer, address }: PeerEntry,
    id: string,
    service: string,
  ): Promise<Answer | undefined> {
    const step = `ask ${peer} for the version of a stream`;
    try {
      const response: HttpResponse = await this.client.send({
        step,
        method: 'GET',
        address,
        path: `${STREAMS_PATH}/find/${encodeURIComponent(id)}?service=${encodeURIComponent(service)}`,
        timeout: streamOptions.callTimeout,
      });
      if (response.status === NOT_FOUND) {
        return NO_ANSWER;
      }
      return answerSchema.parse(parseJson(response.text, step, address));
    } catch (error) {
      this.parts.log({ event: 'fault', step, error: String(error) });
      return undefined;
    }
  }

  private async handleTold(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const limits = { maxBytes: MAX_BODY_BYTES, timeout: streamOptions.callTimeout };
    const result = await readBody(request, limits, this.parts.clock);
    const text = result.kind === 'whole' ? (result.body?.toString('utf8') ?? '') : '';
    const told = toldSchema.safeParse(StreamVersionExchange.parse(text));
    if (!told.success) {
      response.writeHead(BAD_REQUEST).end();
      return;
    }
    told.data.forEach(([id, service, softwareVersion]) => {
      const stream = { id, service, softwareVersion };
      this.parts.versions.record(stream);
      this.store(stream);
    });
    response.writeHead(OK, { 'content-length': 0 }).end();
  }

  private static parse(text: string): unknown {
    try {
      return JSON.parse(text);
    } catch {
      return undefined;
    }
  }

  private handleFind(response: ServerResponse, id: string, service: string): void {
    const { versions } = this.parts;
    const found = versions.find(id);
    const stream = found === undefined ? null : [found.service, found.softwareVersion];
    const body = JSON.stringify({ stream, ...versions.getHistory(service) });
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    response.writeHead(OK, headers).end(body);
  }
}
