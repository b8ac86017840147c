import { parseConfiguration, parseSettings } from '@apricotrill/model';
import type { CallerLimits } from '@apricotrill/model';
import { RouterDaemon } from '@apricotrill/router';
import type { SharedState, SharedStateListener } from '@apricotrill/router';
import { SystemClock, createRandom } from '@apricotrill/utils';
import { RULES, getSettings } from './Deployment.js';
import type { Deployment } from './Deployment.js';
import { LineLog } from './LineLog.js';
import { MemoryClaims } from './MemoryClaims.js';
import type { ClaimPort } from './MemoryClaims.js';

/** Creates the shared state of a daemon without peers. */
function createLocalState(deployment: Deployment, claims: ClaimPort): SharedState {
  const start = (listener: SharedStateListener) => {
    const result = parseConfiguration({
      registerText: JSON.stringify(deployment.getRegister()),
      registerFile: 'register',
      rulesText: JSON.stringify(RULES),
      rulesFile: 'rules',
    });
    if (!result.ok) {
      throw new Error(JSON.stringify(result.error));
    }
    listener.onDaemonsChange('local', ['local']);
    listener.onConfigurationChange(result.value, 1);
    return Promise.resolve();
  };
  const shared = {
    start,
    claims,
    announceReplicaLeaving: () => undefined,
    getMembers: () => [],
    countPeers: () => 0,
    getGeneration: () => 1,
    announceLeaving: () => Promise.resolve(),
    handOver: () => Promise.resolve(),
    dispose: () => Promise.resolve(),
  };
  return shared;
}

/** A daemon inside the test's process, with claims that the test controls. */
export class LocalDaemon {
  readonly log = new LineLog();

  port = 0;

  adminPort = 0;

  private readonly daemon: RouterDaemon;

  private constructor(settingsText: string, shared: SharedState) {
    const settings = parseSettings(settingsText, 'settings');
    if (!settings.ok) {
      throw new Error(JSON.stringify(settings.error));
    }
    this.daemon = new RouterDaemon({
      settings: settings.value,
      clock: new SystemClock(),
      random: createRandom(1),
      shared,
      log: (step, fields) => this.log.add(`apricotrill:${step} ${JSON.stringify(fields)}`),
    });
  }

  static async start(
    deployment: Deployment,
    claims: ClaimPort = new MemoryClaims(),
    limits: Partial<CallerLimits> = {},
  ): Promise<LocalDaemon> {
    const settings = JSON.stringify(getSettings('local', limits));
    const local = new LocalDaemon(settings, createLocalState(deployment, claims));
    Object.assign(local, await local.daemon.start());
    return local;
  }

  stop(): Promise<void> {
    return this.daemon.stop();
  }

  dispose(): Promise<void> {
    return this.daemon.dispose();
  }
}
