import type { InstanceDirectory } from './InstanceDirectory/InstanceDirectory.js';
import type { Instance, InstanceList } from './InstanceList.js';
import { StoreUnavailableError } from './PlatformStore.js';

/**
 * One client's view of an in-process list of instances.
 *
 * @example
 * ```ts
 * const list = new MemoryInstanceList(new InstanceDirectory(clock, 2_000));
 * ```
 * @public
 */
export class MemoryInstanceList implements InstanceList {
  private down = false;

  constructor(readonly directory: InstanceDirectory) {}

  /** Makes the calls of this client fail, or succeed again. */
  setDown(down: boolean): void {
    this.down = down;
  }

  async getInstances(): Promise<Instance[]> {
    if (this.down) {
      const context = { step: 'list-instances', peer: 'memory' };
      throw new StoreUnavailableError('the platform is down', context);
    }
    return this.directory.getInstances();
  }
}
