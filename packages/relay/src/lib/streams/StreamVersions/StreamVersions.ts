import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { streamOptions } from '../streamOptions.js';

/** The software version that wrote the events of a stream. */
export interface StreamVersion {
  /** The request that brought its first event. */
  id: string;
  service: string;
  softwareVersion: string;
}

/** The software versions of a service in the time in which streams can be resumed. */
export interface VersionHistory {
  versions: string[];
  /** Whether there were no others: the replicas have been known for the whole time, and recently. */
  isCovered: boolean;
}

interface RememberedStream extends StreamVersion {
  at: Milliseconds;
}

/** Settings of {@link StreamVersions}. */
export interface StreamVersionsSettings {
  clock: Clock;
  /** Whether the whole system starts for the first time, so that there were no streams before. */
  isFirstStart: boolean;
  /** Returns the time since the known replicas were the current ones in the store. */
  getListAge: () => Milliseconds;
}

/**
 * Remembers the software version of each stream that can still be resumed, and the versions that each service
 * had in that time. What two versions write does not fit together, so a stream may go on only at the version
 * that began it.
 */
export class StreamVersions {
  /** In the order of their start. */
  private readonly streams = new Map<string, RememberedStream>();

  /** Current versions, by service. */
  private current = new Map<string, Set<string>>();

  /** When a version was last listed, by service; for versions that are not listed any more. */
  private readonly lastListed = new Map<string, Map<string, Milliseconds>>();

  private coveredSince: Milliseconds | undefined;

  private firstListAt: Milliseconds | undefined;

  private longestResumeTime: Milliseconds = streamOptions.minResumeTime;

  constructor(private readonly settings: StreamVersionsSettings) {}

  /**
   * Sets the longest time that a stream may take. It never becomes shorter, since streams that began
   * before may still go on.
   */
  setLongestTimeout(timeout: Milliseconds): void {
    const resumeTime = timeout * streamOptions.resumeTimeouts;
    if (resumeTime <= this.longestResumeTime) {
      return;
    }
    const forgottenBefore = this.settings.clock.now() - this.longestResumeTime;
    if (this.firstListAt !== undefined && this.firstListAt < forgottenBefore) {
      this.coveredSince = forgottenBefore;
    }
    this.longestResumeTime = resumeTime;
  }

  /** Time after its start in which a stream can be resumed. */
  get resumeTime(): Milliseconds {
    return this.longestResumeTime;
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.streams.size;
  }

  /**
   * Applies the newest list of replicas.
   *
   * @returns the services that have several versions from now on
   */
  setReplicas(replicas: readonly RelayReplica[]): string[] {
    const now = this.settings.clock.now();
    this.firstListAt ??= now;
    this.coveredSince ??= this.settings.isFirstStart ? Number.NEGATIVE_INFINITY : now;
    const listed = new Map<string, Set<string>>();
    replicas.forEach(({ service, softwareVersion }) => {
      listed.set(service, (listed.get(service) ?? new Set()).add(softwareVersion));
    });
    const services = new Set([...this.current.keys(), ...listed.keys()]);
    const mixed = new Set([...services].filter((service) => this.isMixed(service)));
    this.current.forEach((versions, service) => this.recordListed(service, versions, now));
    this.current = listed;
    return [...services].filter((service) => !mixed.has(service) && this.isMixed(service));
  }

  /** Remembers a stream; a stream that goes on is remembered anew. */
  record(stream: StreamVersion): void {
    this.streams.delete(stream.id);
    this.streams.set(stream.id, { ...stream, at: this.settings.clock.now() });
    this.forgetOld();
  }

  find(id: string): StreamVersion | undefined {
    this.forgetOld();
    return this.streams.get(id);
  }

  /** Returns the streams of a service that can be resumed. */
  getStreams(service: string): StreamVersion[] {
    this.forgetOld();
    return [...this.streams.values()].filter((stream) => stream.service === service);
  }

  getHistory(service: string): VersionHistory {
    const { clock } = this.settings;
    const start = clock.now() - this.longestResumeTime;
    const earlier = [...(this.lastListed.get(service) ?? [])]
      .filter(([, at]) => at >= start)
      .map(([version]) => version);
    const versions = [...new Set([...(this.current.get(service) ?? []), ...earlier])];
    // A version that was added after a list of this age is still one of several at the daemons that know
    // it, so that they tell other daemons of its streams.
    const isRecent = this.settings.getListAge() <= this.longestResumeTime / 2;
    const isCovered = isRecent && this.coveredSince !== undefined && this.coveredSince <= start;
    return { versions, isCovered };
  }

  /** Whether streams of a service that can be resumed may be of several versions. */
  isMixed(service: string): boolean {
    return this.getHistory(service).versions.length > 1;
  }

  private recordListed(service: string, versions: ReadonlySet<string>, at: Milliseconds): void {
    const known = this.lastListed.get(service) ?? new Map<string, Milliseconds>();
    this.lastListed.set(service, known);
    versions.forEach((version) => known.set(version, at));
    const start = at - this.longestResumeTime;
    [...known].filter(([, last]) => last < start).forEach(([version]) => known.delete(version));
  }

  private forgetOld(): void {
    const start = this.settings.clock.now() - this.longestResumeTime;
    for (const [id, { at }] of this.streams) {
      if (at >= start && this.streams.size <= streamOptions.maxStreams) {
        return;
      }
      this.streams.delete(id);
    }
  }
}
