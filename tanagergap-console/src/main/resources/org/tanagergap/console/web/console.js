import {call, newNonce} from './api.js';
import {SECTIONS} from './fields.js';
import {element, section} from './forms.js';
import * as results from './results.js';

const STATUS_POLL_MS = 500;
const MAX_STATUS_POLLS = 20;

const byId = (id) => document.getElementById(id);
const state = {version: 0, base: null, doc: null};

const copy = (value) => JSON.parse(JSON.stringify(value));

function showMessage(text) {
  byId('message').textContent = text;
}

/** Shows results above the forms and focuses them; hides them if there is no content. */
function showResults(...content) {
  const box = byId('results');
  box.replaceChildren(...content);
  box.hidden = content.length === 0;
  if (!box.hidden) {
    box.focus();
  }
}

function draw() {
  byId('base').textContent = state.version === 0
    ? 'No configuration has been accepted yet.'
    : `Editing version ${state.version}.`;
  byId('sections').replaceChildren(
    ...SECTIONS.map((spec) => section(spec, state.doc, showError)));
}

/** Shows the sign-in form; the edits in the other forms are preserved. */
function showSignIn() {
  byId('sign-in').hidden = false;
  byId('editor').hidden = true;
  byId('sign-out').hidden = true;
  byId('operator-key').focus();
}

function showError(error) {
  if (error.status === 401) {
    showSignIn();
    showMessage(state.doc === null ? '' : 'Sign in to continue; nothing that you typed is lost.');
  } else if (error.body && error.body.findings) {
    showMessage('The document has findings.');
    showResults(results.findings(error.body.findings));
  } else {
    showMessage(`Failed: ${error.message}`);
  }
}

function onClick(id, action) {
  byId(id).addEventListener('click', async () => {
    const button = byId(id);
    button.disabled = true;
    try {
      await action();
    } catch (error) {
      showError(error);
    } finally {
      button.disabled = false;
    }
  });
}

async function load() {
  const response = await call('GET', '/api/configuration');
  state.version = response.version;
  state.base = response.document;
  state.doc = copy(response.document);
  draw();
}

async function openEditor() {
  if (state.doc === null) {
    await load();
  }
  byId('sign-in').hidden = true;
  byId('editor').hidden = false;
  byId('sign-out').hidden = false;
  refreshStatus().catch(showError);
}

async function validate() {
  const response = await call('POST', '/api/validate', {document: state.doc});
  if (response.findings.length === 0) {
    showMessage('The document is valid.');
    showResults();
  } else {
    showMessage('The document has findings.');
    showResults(results.findings(response.findings));
  }
}

async function compare() {
  const response = await call('POST', '/api/diff', {document: state.doc});
  const caption = `Changes to version ${response.version}`;
  showMessage('');
  showResults(results.changes(caption, response.changes));
}

async function submit() {
  const nonce = newNonce();
  let response;
  try {
    response = await call(
      'POST', '/api/submit', {document: state.doc, base_version: state.version, nonce});
  } catch (error) {
    const result = error.body && error.body.result;
    if (result === 'conflict') {
      await conflict(error.body);
    } else if (result === 'unresolved' || error.status === undefined) {
      // Without a status the response was lost, and the submission may have been accepted.
      unresolved(nonce, error.message);
    } else {
      showError(error);
    }
    return;
  }
  await accepted(response);
}

async function accepted(response) {
  showResults();
  showMessage(`Accepted as version ${response.version}.`);
  await load();
  await pollStatus(response.version);
}

/** Shows both differences; the edits are preserved until the operator chooses a document. */
async function conflict(response) {
  const others = await call('POST', '/api/diff', {from: state.base, document: response.document});
  const keepButton = element('button', {type: 'button'},
    `Keep my document and edit version ${response.version}`);
  keepButton.addEventListener('click', () => {
    state.version = response.version;
    state.base = response.document;
    draw();
    showResults();
    showMessage(`Your document now replaces version ${response.version} when you submit it.`);
  });
  const loadButton = element('button', {type: 'button'},
    `Discard mine and load ${response.version}`);
  loadButton.addEventListener('click', () => load().then(() => showResults(), showError));
  showMessage(`Conflict: version ${response.version} was accepted first.`);
  showResults(
    element('h2', {}, 'Conflict'),
    results.changes(`Changed by others since version ${state.version}`, others.changes),
    results.changes(
      `What your document would change in version ${response.version}`, response.changes),
    keepButton,
    loadButton);
}

function unresolved(nonce, reason) {
  const queryButton = element('button', {type: 'button'}, 'Ask for the outcome');
  queryButton.addEventListener('click', async () => {
    try {
      await accepted(await call('GET', `/api/outcome/${nonce}`));
    } catch (error) {
      showError(error);
    }
  });
  showMessage(`It is not known whether the document was accepted: ${reason}`);
  showResults(
    element('h2', {}, 'Unresolved'),
    element('p', {}, `Nonce of the submission: ${nonce}`),
    queryButton);
}

async function refreshStatus() {
  const response = await call('GET', '/api/status');
  byId('status-table').replaceChildren(results.status(response));
  return response;
}

/** Polls the status until a new version is in effect in every process. */
async function pollStatus(version) {
  for (let i = 0; i < MAX_STATUS_POLLS; i += 1) {
    const response = await refreshStatus();
    if (response.processes.length === 0) {
      return;
    }
    if (response.in_effect && response.version >= version) {
      showMessage(`Version ${response.version} is in effect.`);
      return;
    }
    await new Promise((resolve) => { setTimeout(resolve, STATUS_POLL_MS); });
  }
  showMessage(`Version ${version} is accepted, but some processes are behind; see the status.`);
}

byId('sign-in').addEventListener('submit', async (event) => {
  event.preventDefault();
  try {
    await call('POST', '/api/session', {key: byId('operator-key').value.trim()});
    byId('operator-key').value = '';
    showMessage('');
    await openEditor();
  } catch (error) {
    showMessage(error.status === 401 ? 'The operator key is not known.' : error.message);
  }
});

onClick('validate', validate);
onClick('compare', compare);
onClick('submit', submit);
onClick('reload', async () => {
  await load();
  showResults();
  showMessage('Your changes were discarded.');
});
onClick('refresh-status', refreshStatus);
onClick('sign-out', async () => {
  await call('DELETE', '/api/session');
  state.doc = null;
  showSignIn();
  showMessage('Signed out.');
});

window.addEventListener('beforeunload', (event) => {
  if (state.doc !== null && JSON.stringify(state.doc) !== JSON.stringify(state.base)) {
    event.preventDefault();
  }
});

openEditor().catch(showError);
