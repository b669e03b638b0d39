/** Error for an HTTP response without success status; body is its JSON or null. */
export class CallError extends Error {
  constructor(status, body) {
    super((body && body.message) || `the console answered with HTTP status ${status}`);
    this.status = status;
    this.body = body;
  }
}

/** Calls the console API; throws CallError unless the response has a success status. */
export async function call(method, path, body) {
  const response = await fetch(path, {
    method,
    headers: body === undefined ? {} : {'Content-Type': 'application/json'},
    body: body === undefined ? undefined : JSON.stringify(body),
    credentials: 'same-origin',
  });
  const text = await response.text();
  let json = null;
  try {
    json = text ? JSON.parse(text) : null;
  } catch (e) {
    json = null;
  }
  if (!response.ok) {
    throw new CallError(response.status, json);
  }
  return json;
}

/** Creates a random nonce, with which the outcome of a submission can be queried. */
export function newNonce() {
  // Browsers provide crypto.randomUUID only on pages that are served over TLS.
  const bytes = crypto.getRandomValues(new Uint8Array(16));
  return Array.from(bytes, (b) => b.toString(16).padStart(2, '0')).join('');
}
