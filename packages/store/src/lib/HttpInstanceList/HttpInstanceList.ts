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

  /** @param settings - the platform's address; every other option has a default */
  constructor(settings: HttpPlatformSettings) {
    this.connection = new PlatformConnection(settings);
  }

  /** @throws StoreUnavailableError when no complete response arrived in time */
  async getInstances(): Promise<Instance[]> {
    const step = 'list-instances';
    const response = await this.connection.request({ step, method: 'GET', path: '/instances' });
    if (response.status !== OK) {
      throw this.connection.createError(step, `unexpected status ${response.status}`);
    }
    return this.connection.parseList<Instance>(step, response, 'instances');
  }

  /** Aborts every request in flight and closes the connections. */
  async dispose(): Promise<void> {
    await this.connection.dispose();
  }
}
