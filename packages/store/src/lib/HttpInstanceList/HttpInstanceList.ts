import type { HttpPlatformSettings } from '../HttpPlatformStore/HttpPlatformOptions.js';
import { PlatformConnection } from '../HttpPlatformStore/PlatformConnection.js';
import type { Instance, InstanceList } from '../InstanceList.js';

const OK = 200;

/**
 * The platform's lagging list of instances over HTTP.
 *
 * @example
 * ```ts
 * const list = new HttpInstanceList({ url: 'http://127.0.0.1:8500' });
 * const instances = await list.getInstances();
 * ```
 * @public
 */
export class HttpInstanceList implements InstanceList {
  private readonly connection: PlatformConnection;

  /** @param setup - the platform's address; every other option has a default */
  constructor(setup: HttpPlatformSettings) {
    this.connection = new PlatformConnection(setup);
  }

  /** @throws StoreUnavailableError when no whole answer came in time */
  async getInstances(): Promise<Instance[]> {
    const step = 'list-instances';
    const answer = await this.connection.call({ step, method: 'GET', path: '/instances' });
    if (answer.status !== OK) {
      throw this.connection.createError(step, `unexpected answer ${answer.status}`);
    }
    return this.connection.parse<{ instances: Instance[] }>(step, answer).instances;
  }

  /** Ends every call under way and closes the connections. */
  async dispose(): Promise<void> {
    await this.connection.dispose();
  }
}
