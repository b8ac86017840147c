import { writeLastLine } from '@apricotrill/lifecycle';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import pino from 'pino';
import type { RelayEvent, RelayLog } from './RelayEvent.js';

/** Events that are dropped first, so that failures and state changes are still logged under load. */
const ROUTINE_EVENTS = new Set<RelayEvent['event']>([
  'admitted',
  'placed-for',
  'admission-decided',
  'queued',
  'not-admitted',
  'sent-elsewhere',
  'sent',
  'first-byte',
  'answered',
]);

const SECOND: Milliseconds = 1_000;

/** Limit on bytes buffered for standard output; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** About four times what a daemon writes under the peak load of current deployments. */
const MAX_LINES_PER_SECOND = 800;

/** The part of the limit that is available to routine events. */
const MAX_ROUTINE_LINES_PER_SECOND = 500;

/** Lines are written in batches of this size, or after the flush interval. */
const BATCH_BYTES = 4_096;

const FLUSH_INTERVAL: Milliseconds = 200;

/** Bound on the wait for a reader of the output when the log is flushed. */
const MAX_FLUSH_TIME: Milliseconds = 150;

/** A log that can be flushed. */
export interface RelayLogOutput {
  log: RelayLog;
  /** Writes buffered lines to standard output. Resolves when they are written, or after a short time. */
  flush(): Promise<void>;
  /** Like {@link RelayLogOutput.flush}, and drops what is logged from then on. */
  close(): Promise<void>;
  /** Writes a line before it returns, after those that were flushed: the last one of a process that exits. */
  writeLast(event: RelayEvent): void;
}

/**
 * Creates a log that limits the number of lines per second. Further events are dropped and counted, and
 * the count is logged in the next second. Logging never waits for a reader of the output, since that
 * would stall requests.
 *
 * @param write - writes one line
 */
export function createBoundedLog(clock: Clock, write: (event: RelayEvent) => void): RelayLog {
  let currentSecond = 0;
  let lineCount = 0;
  let routineCount = 0;
  let droppedCount = 0;
  const advanceSecond = (now: Milliseconds) => {
    const newSecond = Math.floor(now / SECOND);
    if (newSecond === currentSecond) {
      return;
    }
    currentSecond = newSecond;
    lineCount = 0;
    routineCount = 0;
    if (droppedCount > 0) {
      write({ event: 'lines-dropped', lines: droppedCount });
      droppedCount = 0;
    }
  };
  return (event) => {
    advanceSecond(clock.now());
    const isRoutine = ROUTINE_EVENTS.has(event.event);
    if (
      lineCount >= MAX_LINES_PER_SECOND ||
      (isRoutine && routineCount >= MAX_ROUTINE_LINES_PER_SECOND)
    ) {
      droppedCount += 1;
      return;
    }
    lineCount += 1;
    routineCount += isRoutine ? 1 : 0;
    write(event);
  };
}

/**
 * Creates a log on standard output: JSON lines with timestamps, written asynchronously.
 *
 * @example
 * ```ts
 * const { log } = createRelayLog(clock);
 * log({ event: 'caller-left', id, after: 120 });
 * ```
 * @public
 */
export function createRelayLog(clock: Clock): RelayLogOutput {
  const output = pino.destination({
    dest: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL,
  });
  // The loss of the reader must not stop the daemon, and there is no other place to log the error.
  output.on('error', () => undefined);
  const logger = pino({ base: undefined, formatters: { level: (level) => ({ level }) } }, output);
  const flushOnce = () =>
    new Promise<void>((resolve) => {
      output.flush(() => resolve());
    });
  const flush = () =>
    new Promise<void>((resolve) => {
      const timer = clock.setTimer(MAX_FLUSH_TIME, resolve);
      const finish = () => {
        timer.cancel();
        resolve();
      };
      // A write in progress leaves the lines that came after it began to the second flush.
      flushOnce().then(flushOnce).then(finish, finish);
    });
  let isClosed = false;
  const writeBounded = createBoundedLog(clock, (event) => logger.info(event));
  return {
    log: (event) => {
      if (!isClosed) {
        writeBounded(event);
      }
    },
    flush,
    close: () => {
      isClosed = true;
      return flush();
    },
    writeLast: (event) => {
      // As the process exits, the output tries to write what is left for as long as it takes, until it is destroyed.
      output.destroy();
      writeLastLine(JSON.stringify({ level: 'info', time: Date.now(), ...event }));
    },
  };
}
