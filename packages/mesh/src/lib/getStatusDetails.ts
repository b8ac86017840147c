/** The maximum length of the text, in characters; encoded, it must fit into a header of HTTP/2. */
const MAX_LENGTH = 1_000;

/**
 * Returns the text of an error as gRPC can send it in a header: well formed and of limited length. For any other
 * text, gRPC throws or sends no response.
 *
 * @internal
 */
export function getStatusDetails(text: string): string {
  return Buffer.from(text.slice(0, MAX_LENGTH), 'utf8').toString('utf8');
}
