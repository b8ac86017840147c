import { ExecutionOutcome } from '@apricotrill/policy';
import type { RequestAttributes, Service, ServiceClass, Workspace } from '@apricotrill/model';
import { ProblemError, ProblemReason } from './Problem.js';
import type { RoutingTable } from './RoutingTable.js';

const BEARER = /^Bearer\s+(\S+)$/i;

/** The header with which a caller requests a class; the rules decide whether it is honoured. */
export const CLASS_HEADER = 'x-apricotrill-class';

function createIdentifyError(reason: ProblemReason, status: number, title: string, detail: string) {
  return new ProblemError(
    { reason, status, title, detail, outcome: ExecutionOutcome.NotRun },
    { step: 'identify', peer: 'caller' },
  );
}

/**
 * Identifies the workspace that a request belongs to.
 *
 * @param table - the configuration in force
 * @param authorization - the caller's `Authorization` header
 * @throws ProblemError 401
 * @example
 * ```ts
 * const workspace = identifyWorkspace(table, request.headers.authorization);
 * ```
 * @internal
 */
export function identifyWorkspace(
  table: RoutingTable,
  authorization: string | undefined,
): Workspace {
  const key = BEARER.exec(authorization ?? '')?.[1];
  const workspace = key === undefined ? undefined : table.workspaces.getWorkspace(key);
  if (workspace === undefined) {
    const detail = 'send a valid key of your workspace as `Authorization: Bearer <key>`';
    throw createIdentifyError(
      ProblemReason.WrongKey,
      401,
      'The API key is missing or wrong',
      detail,
    );
  }
  return workspace;
}

/**
 * Finds the service that serves a model.
 *
 * @throws ProblemError 404
 * @example
 * ```ts
 * const service = identifyModelService(table, chat.model);
 * ```
 * @internal
 */
export function identifyModelService(table: RoutingTable, model: string): Service {
  const service = table.getServiceByModel(model);
  if (service === undefined) {
    const detail = `no service serves the model \`${model}\`; GET /v1/models lists them`;
    throw createIdentifyError(ProblemReason.UnknownModel, 404, 'Unknown model', detail);
  }
  return service;
}

/**
 * Finds the plain service with the given name.
 *
 * @throws ProblemError 404
 * @example
 * ```ts
 * const service = identifyPlainService(table, 'jasenportaali');
 * ```
 * @internal
 */
export function identifyPlainService(table: RoutingTable, name: string): Service {
  const service = table.getPlainService(name);
  if (service === undefined) {
    const detail = `there is no plain service \`${name}\``;
    throw createIdentifyError(ProblemReason.UnknownService, 404, 'Unknown service', detail);
  }
  return service;
}

/**
 * Determines the class of a request from the operators' rules.
 *
 * @throws ProblemError 403 when no rule matches
 * @example
 * ```ts
 * const serviceClass = identifyClass(table, { service, method, path, workspace });
 * ```
 * @internal
 */
export function identifyClass(table: RoutingTable, attributes: RequestAttributes): ServiceClass {
  const serviceClass = table.classes.getClass(attributes);
  if (serviceClass === undefined) {
    const detail = `no rule gives ${attributes.method ?? 'a chat request'} ${attributes.path ?? ''} at ${attributes.service} a class`;
    throw createIdentifyError(
      ProblemReason.NoClass,
      403,
      'The rules do not allow this call',
      detail,
    );
  }
  return serviceClass;
}
