import {
  FaultHandler,
  ProcessEnd,
  SettingsWait,
  createProcessRandom,
  writeLastLine,
} from '@apricotrill/lifecycle';
import type { EndReason } from '@apricotrill/lifecycle';
import type { Settings } from '@apricotrill/model';
import { SystemClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { hostname } from 'node:os';
import type { Writable } from 'node:stream';
import { createDecisionLog } from './observe/DecisionLog.js';
import { getErrorText } from './observe/getErrorText.js';
import type { RouterDaemon } from './daemon/RouterDaemon.js';
import { SettingsError, readSettings } from './readSettings.js';

const MILLISECONDS_PER_SECOND = 1_000;

const EXIT_FORCED = 130;

function getProcessUptime(): Milliseconds {
  return Math.round(process.uptime() * MILLISECONDS_PER_SECOND);
}

/** Settings of {@link RouterProcess}. */
export interface RouterProcessSettings {
  settingsFile: string;
  createDaemon: (settings: Settings) => RouterDaemon;
  /** Where the ports are written that the daemon listens on. */
  output: Writable;
  /** Where errors that end the start are written for operators. */
  errorOutput: Writable;
}

/** Runs a router daemon as this process: from the wait for its settings to the last line of its output. */
export class RouterProcess {
  private readonly clock = new SystemClock();

  /** The log until the settings are known, which name the daemon. */
  private log = createDecisionLog('');

  private readonly processEnd = new ProcessEnd({
    // The decision log is written at once.
    flush: () => Promise.resolve(),
    writeLast: (event) => writeLastLine(JSON.stringify({ time: Date.now(), ...event })),
    getOpenRequests: () => this.daemon?.openRequestCount ?? 0,
    getUptime: getProcessUptime,
    getMemory: () => process.memoryUsage(),
    exit: (code) => process.exit(code),
  });

  private readonly settingsWait = new SettingsWait({
    clock: this.clock,
    log: (event) => this.log('daemon', event),
  });

  private readonly faults = new FaultHandler({
    clock: this.clock,
    random: createProcessRandom({
      host: hostname(),
      pid: process.pid,
      startedAt: this.clock.now(),
    }),
    hasStarted: () => this.daemon !== undefined || this.signalCount > 0,
    getUptime: getProcessUptime,
    countPeers: () => this.daemon?.livePeerCount ?? 0,
    record: (error, origin) => this.recordFault(error, origin),
    shutDown: (error) => this.stop({ reason: 'fault', error: getErrorText(error) }),
    end: (error) => this.failStart(error),
  });

  private daemon: RouterDaemon | undefined;

  private signalCount = 0;

  constructor(private readonly parts: RouterProcessSettings) {}

  /** Starts the daemon. The process then runs until a signal, or an error, ends it. */
  async run(): Promise<void> {
    process.on('exit', (code) => this.processEnd.handleExit(code));
    process.on('uncaughtException', (error, origin) => this.faults.handle(error, origin));
    (['SIGTERM', 'SIGINT'] as const).forEach((signal) =>
      process.on(signal, () => this.handleSignal(signal)),
    );
    try {
      const { settingsFile } = this.parts;
      const settings = await this.settingsWait.read(() => readSettings(settingsFile));
      if (settings !== undefined) {
        await this.start(settings);
      }
    } catch (error) {
      this.failStart(error);
    }
  }

  private async start(settings: Settings): Promise<void> {
    this.log = createDecisionLog(settings.id);
    this.daemon = this.parts.createDaemon(settings);
    const ports = await this.daemon.start();
    if (ports !== undefined) {
      const listening = { host: settings.host, ...ports };
      this.parts.output.write(`${JSON.stringify({ listening })}\n`);
    }
  }

  /** Ends the process, since a daemon that failed to start would keep some ports open without serving requests. */
  private failStart(error: unknown): void {
    const isInvalid = error instanceof SettingsError;
    const text = isInvalid ? error.message : getErrorText(error);
    this.parts.errorOutput.write(`${text}\n`);
    this.end({ reason: isInvalid ? 'invalid-settings' : 'start-failed', error: text });
  }

  private recordFault(error: unknown, origin: string): void {
    if (this.daemon === undefined) {
      this.log('daemon', { event: 'fault', step: origin, error: getErrorText(error) });
    } else {
      this.daemon.recordFault(origin, error);
    }
  }

  /** A second signal ends the process at once. */
  private handleSignal(signal: string): void {
    this.signalCount += 1;
    if (this.signalCount > 1) {
      process.exit(EXIT_FORCED);
    }
    this.stop({ reason: 'stopped', signal });
  }

  /**
   * Stops the daemon and then exits explicitly. Otherwise a connection whose peer is frozen would stay half
   * closed and keep the process running, and so delay a restart, until the peer resumes.
   */
  private stop(reason: Extract<EndReason, { reason: 'stopped' | 'fault' }>): void {
    this.settingsWait.stop();
    const stopped = this.daemon?.stop() ?? Promise.resolve();
    stopped.then(
      () => this.end(reason),
      (error: unknown) => {
        this.log('daemon', { event: 'fault', step: 'stop', error: getErrorText(error) });
        this.parts.errorOutput.write(`${String(error)}\n`);
        this.end(
          reason.reason === 'fault'
            ? reason
            : { ...reason, reason: 'stop-failed', error: String(error) },
        );
      },
    );
  }

  private end(reason: EndReason): void {
    this.processEnd.end(reason).catch(() => process.exit());
  }
}
