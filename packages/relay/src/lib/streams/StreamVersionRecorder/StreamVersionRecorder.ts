import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { RelayLog } from '../../observe/RelayEvent.js';
import { streamOptions } from '../streamOptions.js';
import type { StreamVersion } from '../StreamVersions/StreamVersions.js';
import type { StreamVersionStore } from '../StreamVersionStore.js';

/** Dependencies of {@link StreamVersionRecorder}. */
export interface StreamVersionRecorderParts {
  clock: Clock;
  log: RelayLog;
  store: StreamVersionStore;
  /** ID of this daemon; it stays the same when the daemon starts again. */
  daemon: string;
}

/** The streams that began in one slice of time, and are stored under one name. */
interface Slice {
  /** Number of the slice since the clock's epoch. */
  index: number;
  /** By ID: several daemons may tell of the same stream. */
  streams: Map<string, StreamVersion>;
  isStored: boolean;
}

/**
 * Writes the software versions of streams to the store in groups, for daemons that start after all others were
 * lost. Streams are grouped by when they began; a name is used again once its streams can't be resumed any more.
 */
export class StreamVersionRecorder {
  /** By name. */
  private readonly slices = new Map<string, Slice>();

  /** What earlier processes of this daemon have stored, by name. */
  private earlier = new Map<string, readonly StreamVersion[]>();

  private loadedAt: Milliseconds | undefined;

  private timer: Timer | undefined;

  private isWriting = false;

  private isDisposed = false;

  private resumeTime: Milliseconds = streamOptions.minResumeTime;

  constructor(private readonly parts: StreamVersionRecorderParts) {}

  /** Sets the time in which a stream can be resumed. It never becomes shorter. */
  setResumeTime(resumeTime: Milliseconds): void {
    this.resumeTime = Math.max(this.resumeTime, resumeTime);
  }

  /** Returns all stored streams. Nothing is written before, so that no stream is overwritten unread. */
  async load(): Promise<StreamVersion[]> {
    const { clock, log, store } = this.parts;
    let stored: ReadonlyMap<string, readonly StreamVersion[]> | undefined;
    while (stored === undefined && !this.isDisposed) {
      try {
        // eslint-disable-next-line no-await-in-loop
        stored = await store.list();
      } catch (error) {
        log({ event: 'fault', step: 'read versions of streams', error: String(error) });
        // eslint-disable-next-line no-await-in-loop
        await this.delay(streamOptions.storeRetryDelay);
      }
    }
    this.earlier = new Map(stored);
    this.start(clock.now());
    return [...this.earlier.values()].flat();
  }

  /** Begins to write without reading, at the first start of the whole system. */
  startEmpty(): void {
    this.start(Number.NEGATIVE_INFINITY);
  }

  /** Adds a stream, which is stored soon. */
  add(stream: StreamVersion): void {
    const slice = this.getCurrentSlice();
    const hasRoom = slice.streams.size < streamOptions.maxStreamsPerObject;
    if (hasRoom && !slice.streams.has(stream.id)) {
      slice.streams.set(stream.id, stream);
      slice.isStored = false;
      this.schedule();
    }
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
  }

  private start(loadedAt: Milliseconds): void {
    this.loadedAt = loadedAt;
    this.schedule();
  }

  private getCurrentSlice(): Slice {
    const now = this.parts.clock.now();
    // One slice more than the time needs, since the current one has only begun.
    const span = this.resumeTime / (streamOptions.slices - 1);
    const index = Math.floor(now / span);
    const name = `${this.parts.daemon}-${index % streamOptions.slices}`;
    const known = this.slices.get(name);
    if (known?.index === index) {
      return known;
    }
    const slice: Slice = { index, streams: new Map(), isStored: true };
    this.slices.set(name, slice);
    return slice;
  }

  private schedule(): void {
    const hasUnstored = [...this.slices.values()].some(({ isStored }) => !isStored);
    const canWrite = this.loadedAt !== undefined && !this.isWriting && !this.isDisposed;
    if (hasUnstored && canWrite && this.timer === undefined) {
      this.timer = this.parts.clock.setTimer(streamOptions.writeInterval, () => {
        this.timer = undefined;
        this.write().catch((error: unknown) => {
          const step = 'write versions of streams';
          this.parts.log({ event: 'fault', step, error: String(error) });
        });
      });
    }
  }

  private async write(): Promise<void> {
    const unstored = [...this.slices].filter(([, { isStored }]) => !isStored);
    this.isWriting = true;
    await Promise.all(unstored.map(([name, slice]) => this.writeSlice(name, slice)));
    this.isWriting = false;
    this.schedule();
  }

  private async writeSlice(name: string, slice: Slice): Promise<void> {
    const { log, store } = this.parts;
    Object.assign(slice, { isStored: true });
    try {
      await store.write(name, [...this.getEarlier(name), ...slice.streams.values()]);
    } catch (error) {
      Object.assign(slice, { isStored: false });
      log({ event: 'fault', step: 'write versions of streams', error: String(error) });
    }
  }

  /** What was stored under a name before this process started, while it may be needed. */
  private getEarlier(name: string): readonly StreamVersion[] {
    const loadedAt = this.loadedAt ?? Number.NEGATIVE_INFINITY;
    if (this.parts.clock.now() - loadedAt > this.resumeTime) {
      this.earlier.clear();
    }
    return this.earlier.get(name) ?? [];
  }

  private delay(duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(duration, resolve);
    });
  }
}
