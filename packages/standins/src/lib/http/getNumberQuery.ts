import { BadRequestError } from './requestErrors.js';
import type { RoutedRequest } from './StandinServer.js';

/** Returns a number from the URL's query. @throws BadRequestError if it is not a number */
export function getNumberQuery(request: RoutedRequest, name: string, fallback: number): number {
  const text = request.query[name];
  if (text === undefined) {
    return fallback;
  }
  const value = Number(text);
  if (!Number.isFinite(value)) {
    throw new BadRequestError(`query ${name} must be a number`);
  }
  return value;
}
