import {call, newNonce} from './api.js';
import {SECTIONS} from './fields.js';
import {element, section} from './forms.js';
import * as results from './results.js';

const STATUS_POLL_MS = 500;
const STATUS_POLLS = 20;

const byId = (id) => document.getElementById(id);
const state = {version: 0, base: null, doc: null};

const copy = (value) => JSON.parse(JSON.stringify(value));

function message(text) {
  byId('message').textContent = text;
}

/** Shows results above the forms and moves the focus there. */
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
    ...SECTIONS.map((spec) => section(spec, state.doc, report)));
}

/** Asks for the operator key; what was typed stays in the forms. */
function askForKey() {
  byId('sign-in').hidden = false;
  byId('editor').hidden = true;
  byId('sign-out').hidden = true;
  byId('operator-key').focus();
}

function report(error) {
  if (error.status === 401) {
    askForKey();
    message(state.doc === null ? '' : 'Sign in to continue; nothing that you typed is lost.');
  } else if (error.body && error.body.findings) {
    message('The document has findings.');
    showResults(results.findings(error.body.findings));
  } else {
    message(`Failed: ${error.message}`);
  }
}

function onClick(id, action) {
  byId(id).addEventListener('click', async () => {
    const button = byId(id);
    button.disabled = true;
    try {
      await action();
    } catch (error) {
      report(error);
    } finally {
      button.disabled = false;
    }
  });
}

async function load() {
  const answer = await call('GET', '/api/configuration');
  state.version = answer.version;
  state.base = answer.document;
  state.doc = copy(answer.document);
  draw();
}

async function openEditor() {
  if (state.doc === null) {
    await load();
  }
  byId('sign-in').hidden = true;
  byId('editor').hidden = false;
  byId('sign-out').hidden = false;
  refreshStatus().catch(report);
}

async function validate() {
  const answer = await call('POST', '/api/validate', {document: state.doc});
  if (answer.findings.length === 0) {
    message('The document is valid.');
    showResults();
  } else {
    message('The document has findings.');
    showResults(results.findings(answer.findings));
  }
}

async function compare() {
  const answer = await call('POST', '/api/diff', {document: state.doc});
  const caption = `Changes to version ${answer.version}`;
  message('');
  showResults(results.changes(caption, answer.changes));
}

async function submit() {
  const nonce = newNonce();
  let answer;
  try {
    answer = await call(
      'POST', '/api/submit', {document: state.doc, base_version: state.version, nonce});
  } catch (error) {
    const result = error.body && error.body.result;
    if (result === 'conflict') {
      await conflict(error.body);
    } else if (result === 'unresolved' || error.status === undefined) {
      // Without a status the answer was lost, and the submission may have been accepted.
      unresolved(nonce, error.message);
    } else {
      report(error);
    }
    return;
  }
  await accepted(answer);
}

async function accepted(answer) {
  showResults();
  message(`Accepted as version ${answer.version}.`);
  await load();
  await watchStatus(answer.version);
}

/** Shows both differences; the forms keep what was typed until the operator decides. */
async function conflict(answer) {
  const others = await call('POST', '/api/diff', {from: state.base, document: answer.document});
  const keep = element('button', {type: 'button'},
    `Keep my document and edit version ${answer.version}`);
  keep.addEventListener('click', () => {
    state.version = answer.version;
    state.base = answer.document;
    draw();
    showResults();
    message(`Your document now replaces version ${answer.version} when you submit it.`);
  });
  const take = element('button', {type: 'button'}, `Discard mine and load ${answer.version}`);
  take.addEventListener('click', () => load().then(() => showResults(), report));
  message(`Conflict: version ${answer.version} was accepted first.`);
  showResults(
    element('h2', {}, 'Conflict'),
    results.changes(`Changed by others since version ${state.version}`, others.changes),
    results.changes(
      `What your document would change in version ${answer.version}`, answer.changes),
    keep,
    take);
}

function unresolved(nonce, reason) {
  const ask = element('button', {type: 'button'}, 'Ask for the outcome');
  ask.addEventListener('click', async () => {
    try {
      await accepted(await call('GET', `/api/outcome/${nonce}`));
    } catch (error) {
      report(error);
    }
  });
  message(`It is not known whether the document was accepted: ${reason}`);
  showResults(
    element('h2', {}, 'Unresolved'), element('p', {}, `Nonce of the submission: ${nonce}`), ask);
}

async function refreshStatus() {
  const answer = await call('GET', '/api/status');
  byId('status-table').replaceChildren(results.status(answer));
  return answer;
}

/** Follows a new version until it is in effect everywhere. */
async function watchStatus(version) {
  for (let i = 0; i < STATUS_POLLS; i += 1) {
    const answer = await refreshStatus();
    if (answer.processes.length === 0) {
      return;
    }
    if (answer.in_effect && answer.version >= version) {
      message(`Version ${answer.version} is in effect.`);
      return;
    }
    await new Promise((resolve) => { setTimeout(resolve, STATUS_POLL_MS); });
  }
  message(`Version ${version} is accepted, but some processes are behind; see the status.`);
}

byId('sign-in').addEventListener('submit', async (event) => {
  event.preventDefault();
  try {
    await call('POST', '/api/session', {key: byId('operator-key').value.trim()});
    byId('operator-key').value = '';
    message('');
    await openEditor();
  } catch (error) {
    message(error.status === 401 ? 'The operator key is not known.' : error.message);
  }
});

onClick('validate', validate);
onClick('compare', compare);
onClick('submit', submit);
onClick('reload', async () => {
  await load();
  showResults();
  message('Your changes were discarded.');
});
onClick('refresh-status', refreshStatus);
onClick('sign-out', async () => {
  await call('DELETE', '/api/session');
  state.doc = null;
  askForKey();
  message('Signed out.');
});

window.addEventListener('beforeunload', (event) => {
  if (state.doc !== null && JSON.stringify(state.doc) !== JSON.stringify(state.base)) {
    event.preventDefault();
  }
});

openEditor().catch(report);
