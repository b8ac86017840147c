import { parseConfiguration } from '@apricotrill/model';
import { StepError } from '@apricotrill/utils';
import { readFile } from 'node:fs/promises';
import type { ClaimPort } from '../pipeline/ClaimPort.js';
import type { SharedState, SharedStateListener } from './SharedState.js';

/** Claims need the platform: without it, non-repeatable requests are rejected. */
const UNAVAILABLE_CLAIMS: ClaimPort = {
  claim: () => Promise.resolve({ kind: 'unavailable', retryAfter: 60_000, isProvedNotRun: false }),
};

/**
 * The shared state of a standalone daemon that reads its configuration from two files, for trying out
 * the router without a platform.
 *
 * @internal
 */
export class SharedFiles implements SharedState {
  readonly claims = UNAVAILABLE_CLAIMS;

  private readonly daemon: string;

  private readonly registerFile: string;

  private readonly rulesFile: string;

  constructor(daemon: string, registerFile: string, rulesFile: string) {
    this.daemon = daemon;
    this.registerFile = registerFile;
    this.rulesFile = rulesFile;
  }

  async start(listener: SharedStateListener): Promise<void> {
    const { registerFile, rulesFile } = this;
    const result = parseConfiguration({
      registerText: await readFile(registerFile, 'utf8'),
      registerFile,
      rulesText: await readFile(rulesFile, 'utf8'),
      rulesFile,
    });
    if (!result.ok) {
      const [first] = result.error;
      const detail = `line ${first?.line}: ${first?.reason}; ${first?.expected}`;
      throw new StepError(detail, { step: 'configuration', peer: first?.file ?? registerFile });
    }
    listener.onDaemonsChange(this.daemon, [this.daemon]);
    listener.onConfigurationChange(result.value, this.getGeneration());
  }

  // eslint-disable-next-line class-methods-use-this
  announceReplicaLeaving(): void {}

  getMembers(): unknown {
    return { self: this.daemon, generation: this.getGeneration(), members: [] };
  }

  // eslint-disable-next-line class-methods-use-this
  countPeers(): number {
    return 0;
  }

  // eslint-disable-next-line class-methods-use-this
  getGeneration(): number {
    return 1;
  }

  // eslint-disable-next-line class-methods-use-this
  announceLeaving(): void {}

  // eslint-disable-next-line class-methods-use-this
  handOver(): Promise<void> {
    return Promise.resolve();
  }

  // eslint-disable-next-line class-methods-use-this
  dispose(): Promise<void> {
    return Promise.resolve();
  }
}
