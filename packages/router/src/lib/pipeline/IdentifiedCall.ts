import type { Service, ServiceClass, Workspace } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';

/**
 * A call after the filters receive and identify: read, checked, and known whose and what it is.
 *
 * @internal
 */
export interface CallerCall {
  requestId: string;
  arrived: Milliseconds;
  workspace: Workspace;
  service: Service;
  serviceClass: ServiceClass;
  response: ServerResponse;
}
