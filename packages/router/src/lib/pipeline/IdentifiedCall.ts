import type { Service, ServiceClass, Workspace } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';

/**
 * A caller's request after the receive and identify steps: its body has been read and validated, and
 * its workspace, service and class are known.
 *
 * @internal
 */
export interface IdentifiedCall {
  requestId: string;
  arrivedAt: Milliseconds;
  workspace: Workspace;
  service: Service;
  serviceClass: ServiceClass;
  response: ServerResponse;
}
