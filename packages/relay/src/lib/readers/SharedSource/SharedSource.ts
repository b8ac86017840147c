import { StepError } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type {
  ObjectList,
  ObjectSource,
  WatchResult,
} from '../../follow/StateFollower/ObjectSource.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import type { ReaderSelector } from '../ReaderSelector/ReaderSelector.js';
import type { SharedState } from '../SharedObjects/SharedObjects.js';

/** What came of a call to a reader. */
export type ReaderAnswer<Item> =
  | { kind: 'state'; state: SharedState<Item> }
  /** It can't tell, since the store gives it no answer or it is only becoming a reader. */
  | { kind: 'refused' }
  | { kind: 'silent'; error: Error };

/** Asks another daemon for the objects of one kind. */
export type PeerReader<Item> = (
  daemon: PeerEntry,
  query: { since: string; wait: Milliseconds },
  signal: AbortSignal,
) => Promise<ReaderAnswer<Item>>;

/** What the source is made of. */
export interface SharedSourceParts<Item> {
  /** Names the kind in log lines. */
  dependency: string;
  store: ObjectSource<Item>;
  choice: ReaderSelector;
  ask: PeerReader<Item>;
  clock: Clock;
  log: RelayLog;
  /** The longest that a call waits where some daemons read for others. */
  sharedWait: Milliseconds;
}

/** One kind of objects, read from the store or from a daemon that reads the store. */
export class SharedSource<Item> implements ObjectSource<Item> {
  /** The reader that was asked last, and the state that it told. */
  private known: { reader: string; token: string } | undefined;

  /** Where the last read went; undefined for the store. */
  private reader: string | undefined;

  private confirmed: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: SharedSourceParts<Item>) {}

  /** When the store last answered this daemon. */
  get confirmedAt(): Milliseconds {
    return this.confirmed;
  }

  /** Whether the last read went to the store. */
  get isDirect(): boolean {
    return this.reader === undefined;
  }

  /** The first list comes from the store: a daemon that starts knows of no other. */
  async list(): Promise<ObjectList<Item>> {
    return this.callStore((store) => store.list());
  }

  async watch(
    revision: number,
    longestWait: Milliseconds,
    signal: AbortSignal,
  ): Promise<WatchResult<Item>> {
    const { choice, sharedWait } = this.parts;
    const wait = choice.hasReaders ? Math.min(longestWait, sharedWait) : longestWait;
    for (;;) {
      const place = choice.choose();
      switch (place.kind) {
        case 'store':
          return this.callStore((store) => store.watch(revision, wait, signal));
        case 'no-source':
          throw new StepError('no reader reaches the store', { step: 'read', peer: 'daemons' });
        case 'daemon': {
          // eslint-disable-next-line no-await-in-loop
          const answer = await this.askReader(place.daemon, wait, signal);
          if (answer.kind === 'state') {
            return SharedSource.getResult(answer.state);
          }
          this.noteFailed(place.daemon, answer);
          if (answer.kind === 'silent') {
            // Changes must be in force soon, and another reader may be as silent.
            return this.callStore((store) => store.watch(revision, wait, signal));
          }
          break;
        }
        default:
          return place satisfies never;
      }
    }
  }

  private async askReader(
    daemon: PeerEntry,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<ReaderAnswer<Item>> {
    const since = this.known?.reader === daemon.id ? this.known.token : '';
    const query = { since, wait };
    this.note(daemon.id);
    const answer = await this.parts.ask(daemon, query, signal);
    if (answer.kind === 'state') {
      this.known = { reader: daemon.id, token: answer.state.token };
    }
    signal.throwIfAborted();
    return answer;
  }

  private noteFailed(
    daemon: PeerEntry,
    answer: Exclude<ReaderAnswer<Item>, { kind: 'state' }>,
  ): void {
    const { choice, log, dependency } = this.parts;
    const isSilent = answer.kind === 'silent';
    const error = isSilent ? answer.error.message : 'it has no answer of the store';
    choice.noteFailed(daemon, isSilent);
    log({ event: 'reader-failed', dependency, reader: daemon.id, error });
  }

  private note(reader: string | undefined): void {
    if (reader !== this.reader) {
      const { log, dependency } = this.parts;
      log({
        event: 'reader',
        dependency,
        reader: reader ?? 'store',
        previous: this.reader ?? 'store',
      });
      this.reader = reader;
    }
  }

  private static getResult<Item>(state: SharedState<Item>): WatchResult<Item> {
    const { revision, isWhole, changes } = state;
    if (isWhole) {
      const items = new Map(changes as [string, Item][]);
      return { kind: 'list', list: { items, revision } };
    }
    return {
      kind: 'changes',
      revision,
      changes: changes.map(([name, item]) => ({ name, item: item ?? undefined })),
    };
  }

  private async callStore<Result>(
    call: (store: ObjectSource<Item>) => Promise<Result>,
  ): Promise<Result> {
    const { store, choice, clock } = this.parts;
    this.note(undefined);
    try {
      const result = await call(store);
      choice.noteStoreAnswered();
      this.confirmed = clock.now();
      return result;
    } catch (error) {
      choice.noteStoreFailed();
      throw error;
    }
  }
}
