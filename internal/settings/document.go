package settings

// document is the platform's settings object; the JSON keys are the platform's.
// Other keys are ignored. Fields whose names end in Us are in microseconds.
type document struct {
	InstanceIndex int             `json:"me"`
	InstanceCount int             `json:"replicasOfMe"`
	InstanceZone  string          `json:"myZone"`
	RegistryMode  string          `json:"registryMode"`
	Classes       []classDocument `json:"classes"`
	Contracts     []planDocument  `json:"contracts"`
	FamilyInfo    struct {
		CostAfter        bool    `json:"costAfter"`
		CounterTimeoutUs float64 `json:"counterTimeoutUs"`
		MaxUnits         float64 `json:"maxUnits"`
		SharedCounter    bool    `json:"sharedCounter"`
	} `json:"familyInfo"`
	Permissions struct {
		ConnIdleUs       float64 `json:"connIdleUs"`
		ConnectTimeoutUs float64 `json:"connectTimeoutUs"`
		MaxOpen          int     `json:"maxOpen"`
		MaxAttempts      int     `json:"maxAttempts"`
		MaxRetryAfterUs  float64 `json:"maxRetryAfterUs"`
		MayCancel        bool    `json:"mayCancel"`
		Probing          bool    `json:"probing"`
		Hedging          bool    `json:"parallelTries"`
		RetryAfter       bool    `json:"retryAfter"`
	} `json:"permissions"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"prices"`
	Invariants struct {
		InitialShare     float64 `json:"coldFrom"`
		SlowStartUs      float64 `json:"warmAfterUs"`
		OverloadMultiple float64 `json:"fallMultiple"`
		OverloadUs       float64 `json:"fallUs"`
		DrainGraceUs     float64 `json:"drainGraceUs"`
	} `json:"invariants"`
}

// classDocument is a request class in the settings object.
type classDocument struct {
	Name        string  `json:"name"`
	Value       float64 `json:"value"`
	ObjectiveUs float64 `json:"objectiveUs"`
	DeadlineUs  float64 `json:"deadlineUs"`
	LateShare   float64 `json:"lateShare"`
	Effect      string  `json:"effect"`
	Group       string  `json:"group"`
	WindowUs    float64 `json:"windowUs"`
}

// planDocument is a plan, which the settings object calls a contract.
type planDocument struct {
	Name         string  `json:"name"`
	Price        float64 `json:"price"`
	Refill       float64 `json:"refill"`
	Burst        float64 `json:"burst"`
	Concurrency  int     `json:"concurrency"`
	ExcessWeight float64 `json:"excessWorth"`
	ExcessCost   float64 `json:"excessCost"`
	HardRate     float64 `json:"hardRate"`
	CapDepth     float64 `json:"capDepth"`
	Tolerance    float64 `json:"tolerance"`
}
